package environment_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/xdg-go/scram"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/environment"
)

// Guards against keys that do not match their verifier, keys that repeat, and secrets
// that formatting or redaction reveals.
func TestNewKey(t *testing.T) {
	is := is.New(t)
	random := rand.NewChaCha8([32]byte{1})
	key, verifier, err := environment.NewKey(random)
	is.NoErr(err)
	other, _, err := environment.NewKey(random)
	is.NoErr(err)
	is.True(key.Reveal() != other.Reveal())
	is.Equal(len(key.Reveal()), len(proxy.KeyPrefix)+40) // 5 bits per character
	is.True(!strings.Contains(fmt.Sprintf("%v %+v %#v %s", key, key, key, verifier), key.Reveal()))
	is.True(!strings.Contains(fmt.Sprintf("%v %#v", verifier, verifier), "SCRAM"))
	is.Equal(proxy.Redact("lost "+key.Reveal()+" and "+verifier.Text()+"."), "lost (not shown) and (not shown)")

	parsed, err := proxy.ParseVerifier(verifier.Text())
	is.NoErr(err)
	is.True(authenticates(t, key.Reveal(), parsed))
	is.True(!authenticates(t, other.Reveal(), parsed))
}

func authenticates(t *testing.T, key string, v proxy.Verifier) bool {
	is := is.New(t)
	client, err := scram.SHA256.NewClient("clerks-1", key, "")
	is.NoErr(err)
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return scram.StoredCredentials{
			KeyFactors: scram.KeyFactors{Salt: string(v.Salt), Iters: v.Iterations},
			StoredKey:  v.Stored,
			ServerKey:  v.Server,
		}, nil
	})
	is.NoErr(err)
	clientSide, serverSide := client.NewConversation(), server.NewConversation()
	message := ""
	for !clientSide.Done() {
		if message, err = clientSide.Step(message); err != nil {
			return false
		}
		if !serverSide.Done() {
			message, _ = serverSide.Step(message)
		}
	}
	return serverSide.Valid()
}

// Guards against edits that lose comments or layout or change anything but the key. The
// golden files contain the text after a key was added and the account's keys withdrawn.
func TestEditKeys(t *testing.T) {
	paths, err := filepath.Glob("testdata/edit/*.yaml")
	is.New(t).NoErr(err)
	verifier, err := environment.DeriveVerifier("new", []byte("salt of the test"))
	is.New(t).NoErr(err)
	for _, path := range append(paths, "../../../examples/loom-ledger.yaml") {
		t.Run(filepath.Base(path), func(t *testing.T) {
			is := is.New(t)
			text := readFile(t, path)
			before, err := environment.Decode(text)
			is.NoErr(err)
			added, err := environment.AddKey(text, before.Accounts[0].ID, "new", verifier)
			is.NoErr(err)
			withdrawn, err := environment.WithdrawKey(added, "new")
			is.NoErr(err)
			if keys := before.Accounts[0].Keys; len(keys) > 0 {
				withdrawn, err = environment.WithdrawKey(withdrawn, keys[0].ID)
				is.NoErr(err)
			}
			after, err := environment.Decode(withdrawn)
			is.NoErr(err)
			for _, key := range after.Accounts[0].Keys {
				is.True(key.Withdrawn)
			}
			again, err := environment.WithdrawKey(withdrawn, "new")
			is.NoErr(err)
			is.True(bytes.Equal(again, withdrawn))
			_, err = environment.AddKey(added, before.Accounts[0].ID, "new", verifier)
			is.True(err != nil)
			golden := filepath.Join("testdata/edit", strings.TrimSuffix(filepath.Base(path), ".yaml")+".txt")
			if os.Getenv("UPDATE_TESTDATA") != "" {
				is.NoErr(os.WriteFile(golden, withdrawn, 0o644))
			}
			is.Equal(string(withdrawn), string(readFile(t, golden)))
		})
	}
}
