package soak_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/soak"
)

// echo starts a server that returns each line to its sender. It sends the lines that
// arrive to the channel.
func echo(t *testing.T) (address string, lines chan string) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	lines = make(chan string, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				in := bufio.NewReader(conn)
				for {
					line, err := in.ReadString('\n')
					if err != nil {
						return
					}
					lines <- line
					if _, err := conn.Write([]byte(line)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), lines
}

// Guards against relays that drop nothing or the wrong direction. The soak would then
// not test the faults that it reports.
func TestRelayModes(t *testing.T) {
	cases := map[soak.RelayMode]struct{ arrives, answered bool }{
		soak.Healthy:        {true, true},
		soak.Delayed:        {true, true},
		soak.DropFromClient: {false, false},
		soak.DropFromServer: {true, false},
		soak.DropBoth:       {false, false},
		soak.Resetting:      {false, false},
	}
	for mode, want := range cases {
		t.Run(mode.String(), func(t *testing.T) {
			is := is.New(t)
			target, lines := echo(t)
			r, stop, err := soak.StartRelay("127.0.0.1:0", target)
			is.NoErr(err)
			t.Cleanup(stop)
			conn, err := net.Dial("tcp4", r.Address())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			in := bufio.NewReader(conn)
			_, err = conn.Write([]byte("before\n"))
			is.NoErr(err)
			_, err = in.ReadString('\n')
			is.NoErr(err)
			is.Equal(<-lines, "before\n")

			r.SetMode(mode)
			// The write fails where the relay has reset the connection.
			_, _ = conn.Write([]byte("after\n"))
			if want.answered {
				answer, err := in.ReadString('\n')
				is.NoErr(err)
				is.Equal(answer, "after\n")
			}
			if want.arrives {
				is.Equal(<-lines, "after\n")
			}
			if want.answered {
				return
			}
			// The absence of an answer cannot be awaited. A relay that forwards bytes
			// does so well before this deadline.
			is.NoErr(conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond)))
			_, err = in.ReadString('\n')
			is.True(err != nil)
			is.Equal(len(lines), 0)
		})
	}
}
