package frontend

import (
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
)

// copyIn passes the data of COPY FROM STDIN to the instance as fast as the instance
// reads it, up to the client's CopyDone or CopyFail.
func (s *session) copyIn(response *pgproto3.CopyInResponse) error {
	// The instance ignores a Sync that it receives during COPY; the client
	// sends another one afterwards.
	s.queue = slices.DeleteFunc(s.queue, func(r request) bool { return r.kind == requestSync })
	s.acquired.wrote = true
	if err := s.out.send(response); err != nil {
		return err
	}
	if err := s.out.flush(); err != nil {
		return err
	}
	unsent := 0
	for {
		message, err := s.nextMessage()
		if err != nil {
			return err
		}
		size, last := s.copyMessage(message)
		unsent += size
		if last && !s.endsWithReady() {
			s.acquired.frontend.Send(&pgproto3.Flush{})
		}
		if last || unsent >= writeThreshold {
			unsent = 0
			if err := s.flushToInstance(); err != nil {
				return s.handleConnectionLoss(err)
			}
		}
		if last {
			return nil
		}
	}
}

// copyMessage passes one message to the instance. It returns the number of data bytes
// and whether the message ends the COPY.
func (s *session) copyMessage(message pgproto3.FrontendMessage) (int, bool) {
	switch m := message.(type) {
	case *pgproto3.CopyData:
		s.acquired.frontend.Send(m)
		return len(m.Data), false
	case *pgproto3.CopyDone, *pgproto3.CopyFail:
		s.acquired.frontend.Send(m)
		return 0, true
	case *pgproto3.Flush, *pgproto3.Sync:
		return 0, false
	}
	s.acquired.frontend.Send(&pgproto3.CopyFail{Message: "unexpected message during COPY"})
	return 0, true
}
