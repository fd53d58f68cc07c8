package soak_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/soak"
)

// echo serves connections that return each line, and counts the lines.
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

// Guards against relays that harm nothing, or that cut the wrong direction: the
// soak would then test less than it says.
func TestRelayHarms(t *testing.T) {
	cases := map[soak.Harm]struct{ arrives, answered bool }{
		soak.Healthy:  {true, true},
		soak.Delayed:  {true, true},
		soak.Deaf:     {false, false},
		soak.Mute:     {true, false},
		soak.Silent:   {false, false},
		soak.Refusing: {false, false},
	}
	for harm, want := range cases {
		t.Run(harm.String(), func(t *testing.T) {
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

			r.Set(harm)
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
			// Nothing can be awaited here; a relay that passes bytes on has done so
			// by then.
			is.NoErr(conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond)))
			_, err = in.ReadString('\n')
			is.True(err != nil)
			is.Equal(len(lines), 0)
		})
	}
}
