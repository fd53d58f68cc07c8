package front

import (
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
)

// copyIn passes the data of COPY FROM STDIN to the instance at its pace, up to
// the client's CopyDone or CopyFail.
func (s *session) copyIn(response *pgproto3.CopyInResponse) error {
	// The instance ignores a Sync that it receives during COPY; the client
	// sends another one afterwards.
	s.queue = slices.DeleteFunc(s.queue, func(r request) bool { return r.kind == askSync })
	s.loan.wrote = true
	if err := s.out.send(response); err != nil {
		return err
	}
	if err := s.out.flush(); err != nil {
		return err
	}
	unsent := 0
	for {
		message, err := s.next()
		if err != nil {
			return err
		}
		size, last := s.copyMessage(message)
		unsent += size
		if last && !s.endsWithReady() {
			s.loan.frontend.Send(&pgproto3.Flush{})
		}
		if last || unsent >= outputSize {
			unsent = 0
			if err := s.push(); err != nil {
				return s.lose(err)
			}
		}
		if last {
			return nil
		}
	}
}

// copyMessage passes one message on. It returns the number of bytes and whether
// the COPY ends with it.
func (s *session) copyMessage(message pgproto3.FrontendMessage) (int, bool) {
	switch m := message.(type) {
	case *pgproto3.CopyData:
		s.loan.frontend.Send(m)
		return len(m.Data), false
	case *pgproto3.CopyDone, *pgproto3.CopyFail:
		s.loan.frontend.Send(m)
		return 0, true
	case *pgproto3.Flush, *pgproto3.Sync:
		return 0, false
	}
	s.loan.frontend.Send(&pgproto3.CopyFail{Message: "unexpected message during COPY"})
	return 0, true
}
