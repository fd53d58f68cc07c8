package operator

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/environment"
)

type keyCommand struct {
	Create   keyCreateCommand   `command:"create" description:"Create a key, add its verifier to the document file and show the key once"`
	Withdraw keyWithdrawCommand `command:"withdraw" description:"Mark a key in the document file as withdrawn"`
}

type keyCreateCommand struct {
	Account string `long:"account" value-name:"ACCOUNT" required:"true" description:"id of the account"`
	ID      string `long:"id" value-name:"KEY" required:"true" description:"id of the new key, unique in the environment"`
	documentArgument
}

// Execute implements flags.Commander; the client runs commands itself.
func (*keyCreateCommand) Execute([]string) error { return nil }

// keyResult is the result of creating a key. No other output of the program contains a
// key.
type keyResult struct {
	Account proxy.AccountID `json:"account"`
	ID      proxy.KeyID     `json:"id"`
	Key     string          `json:"key"`
}

func (c *keyCreateCommand) run(inv *invocation) error {
	key, verifier, err := environment.NewKey(inv.Random)
	if err != nil {
		return err
	}
	err = editFile(string(c.Arguments.File), func(text []byte) ([]byte, error) {
		return environment.AddKey(text, proxy.AccountID(c.Account), proxy.KeyID(c.ID), verifier)
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(inv.Messages, "key %s of account %s is in %s; try and promote the document to put it in force\n", c.ID, c.Account, c.Arguments.File)
	fmt.Fprintln(inv.Messages, "the key is shown only once:")
	return inv.printResult(key.Reveal(), keyResult{Account: proxy.AccountID(c.Account), ID: proxy.KeyID(c.ID), Key: key.Reveal()})
}

type keyWithdrawCommand struct {
	ID string `long:"id" value-name:"KEY" required:"true" description:"id of the key"`
	documentArgument
}

// Execute implements flags.Commander; the client runs commands itself.
func (*keyWithdrawCommand) Execute([]string) error { return nil }

type withdrawResult struct {
	ID        proxy.KeyID `json:"id"`
	Withdrawn bool        `json:"withdrawn"`
}

func (c *keyWithdrawCommand) run(inv *invocation) error {
	err := editFile(string(c.Arguments.File), func(text []byte) ([]byte, error) {
		return environment.WithdrawKey(text, proxy.KeyID(c.ID))
	})
	if err != nil {
		return err
	}
	line := fmt.Sprintf("key %s is withdrawn in %s; try and promote the document to put it in force", c.ID, c.Arguments.File)
	return inv.printResult(line, withdrawResult{ID: proxy.KeyID(c.ID), Withdrawn: true})
}

// editFile edits a file and replaces it atomically, so that no reader sees a partly
// written file. It fails if the file changes while it is edited.
func editFile(name string, edit func([]byte) ([]byte, error)) error {
	path, err := filepath.EvalSymlinks(name)
	if err != nil {
		return fmt.Errorf("find the document: %w", err)
	}
	info, err := os.Stat(path)
	if err != nil {
		return fmt.Errorf("find the document: %w", err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read the document: %w", err)
	}
	edited, err := edit(text)
	if err != nil {
		return fmt.Errorf("edit %s: %w", name, err)
	}
	temporary, err := writeTemporary(path, edited, info.Mode().Perm())
	if err != nil {
		return err
	}
	defer os.Remove(temporary)
	if current, err := os.ReadFile(path); err != nil || !bytes.Equal(current, text) {
		return eris.Errorf("%s was changed in the meantime: run the command again", name)
	}
	if err := os.Rename(temporary, path); err != nil {
		return fmt.Errorf("replace the document: %w", err)
	}
	return nil
}

// writeTemporary writes text to a new file in the directory of path and returns its
// name.
func writeTemporary(path string, text []byte, mode os.FileMode) (string, error) {
	file, err := os.CreateTemp(filepath.Dir(path), ".auburnyoke-*")
	if err != nil {
		return "", fmt.Errorf("create a temporary file: %w", err)
	}
	_, err = file.Write(text)
	if err == nil {
		err = file.Chmod(mode)
	}
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		_ = os.Remove(file.Name())
		return "", fmt.Errorf("write a temporary file: %w", err)
	}
	return file.Name(), nil
}
