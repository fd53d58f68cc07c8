package platform_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/zeromicro/go-zero/rest/router"

	emulator "github.com/auburnyoke/auburnyoke/internal/emulator/platform"
	"github.com/auburnyoke/auburnyoke/internal/platform"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// startPlatform starts an emulated platform and returns a client connected to it.
func startPlatform(t *testing.T) (*emulator.Server, *platform.Client) {
	t.Helper()
	is := is.New(t)
	server := emulator.NewServer()
	routes := router.NewRouter()
	for _, route := range server.Routes() {
		is.NoErr(routes.Handle(route.Method, route.Path, route.Handler))
	}
	listener := httptest.NewServer(routes)
	t.Cleanup(listener.Close)
	client, closeClient, err := platform.NewClient(listener.URL)
	is.NoErr(err)
	t.Cleanup(closeClient)
	return server, client
}

// Guards against a conditional write that overwrites another writer's change.
func TestPutIsConditional(t *testing.T) {
	is := is.New(t)
	_, client := startPlatform(t)
	ctx := context.Background()
	first, err := client.Put(ctx, "a/b", []byte("one"), 0)
	is.NoErr(err)
	_, err = client.Put(ctx, "a/b", []byte("two"), 0)
	is.True(errors.Is(err, proxy.ErrConflict))
	_, err = client.Put(ctx, "a/b", []byte("two"), first)
	is.NoErr(err)
	object, err := client.Get(ctx, "a/b")
	is.NoErr(err)
	is.Equal(string(object.Value), "two")
	_, err = client.Get(ctx, "a/c")
	is.True(errors.Is(err, proxy.ErrNotFound))
}

// Guards against reporting an outage or a lost answer as a conflict, which would tell the
// caller that nothing was written.
func TestLostAnswerLeavesTheOutcomeOpen(t *testing.T) {
	is := is.New(t)
	server, client := startPlatform(t)
	ctx := context.Background()
	server.SetFaults(emulator.Faults{LoseAnswers: 1})
	_, err := client.Put(ctx, "a", []byte("one"), 0)
	is.True(err != nil)
	is.True(!errors.Is(err, proxy.ErrConflict))
	object, err := client.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(string(object.Value), "one") // the write took effect

	server.SetFaults(emulator.Faults{Outage: true})
	_, err = client.Put(ctx, "b", []byte("one"), 0)
	is.True(err != nil)
	server.SetFaults(emulator.Faults{})
	_, err = client.Get(ctx, "b")
	is.True(errors.Is(err, proxy.ErrNotFound)) // an outage writes nothing
}

// Guards against accepting values above the platform's size limit, and addresses that are
// not an http or https URL with a host.
func TestLimits(t *testing.T) {
	is := is.New(t)
	_, client := startPlatform(t)
	ctx := context.Background()
	_, err := client.Put(ctx, "large", make([]byte, proxy.MaxObjectSize), 0)
	is.NoErr(err)
	_, err = client.Put(ctx, "larger", make([]byte, proxy.MaxObjectSize+1), 0)
	is.True(errors.Is(err, proxy.ErrTooLarge))
	for _, address := range []string{"", "127.0.0.1:80", "ftp://127.0.0.1", "http://"} {
		_, _, err := platform.NewClient(address)
		is.True(err != nil)
	}
}

// Guards against a watch that misses a change or reports it twice.
func TestWatchReturnsEachChangeOnce(t *testing.T) {
	is := is.New(t)
	_, client := startPlatform(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err := client.Put(ctx, "hosts/a", []byte("1"), 0)
	is.NoErr(err)
	_, err = client.Put(ctx, "other", []byte("1"), 0)
	is.NoErr(err)
	objects, err := client.Watch(ctx, "hosts/", 0)
	is.NoErr(err)
	is.Equal(len(objects), 1)
	go func() {
		_, _ = client.Put(ctx, "hosts/b", []byte("2"), 0)
	}()
	objects, err = client.Watch(ctx, "hosts/", objects[0].Version)
	is.NoErr(err)
	is.Equal(len(objects), 1)
	is.Equal(objects[0].Key, proxy.Key("hosts/b"))
	all, err := client.List(ctx, "hosts/")
	is.NoErr(err)
	is.Equal(len(all), 2)
}
