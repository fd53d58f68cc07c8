package deployment

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// session is one connection to an instance.
type session struct {
	at       *Instance
	tenant   string
	in       *bufio.Reader
	out      net.Conn
	prepared map[string]prepared
	open     bool
	readOnly bool
	failed   bool
	writes   []write
}

// serve answers one connection.
func (i *Instance) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	s := &session{at: i, in: bufio.NewReader(conn), out: conn, prepared: make(map[string]prepared)}
	line, err := s.in.ReadString('\n')
	if err != nil {
		return
	}
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "STARTUP" {
		_, _ = fmt.Fprint(conn, "ERROR MALFORMED startup\r\n")
		return
	}
	s.tenant = fields[2]
	g := i.group
	g.mu.Lock()
	refused := ""
	switch {
	case i.stopped:
		refused = "BUSY stopped"
	case fields[1] != g.Name || len(fields) > 3 && fields[3] != i.ID:
		refused = "MISROUTED " + i.ID
	case i.connections >= g.Connections:
		refused = "CONNLIMIT " + i.ID
	default:
		i.connections++
		i.closers[s] = func() { _ = conn.Close() }
	}
	at := i.positionText(time.Now())
	g.mu.Unlock()
	if refused != "" {
		_, _ = fmt.Fprintf(conn, "ERROR %s\r\n", refused)
		return
	}
	defer func() {
		g.mu.Lock()
		i.connections--
		delete(i.closers, s)
		g.mu.Unlock()
	}()
	_, _ = fmt.Fprintf(conn, "READY I %s\r\n", at)
	for {
		line, err := s.in.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		g.mu.Lock()
		answer := s.run(id, text)
		state := "I"
		if s.failed {
			state = "E"
		} else if s.open {
			state = "T"
		}
		answer += fmt.Sprintf("READY %s %s\r\n", state, i.positionText(time.Now()))
		lost := g.lost > 0 && strings.HasPrefix(text, "WRITE")
		if lost {
			g.lost--
		}
		g.mu.Unlock()
		if lost {
			return
		}
		if _, err := fmt.Fprint(conn, answer); err != nil {
			return
		}
	}
}

const done = "COMPLETE -\r\n"

func (s *session) refuse(code string) string {
	s.failed = s.open
	return "ERROR " + code + " " + s.at.ID + "\r\n"
}

// run executes a statement. The caller holds the group's lock.
func (s *session) run(id, text string) string {
	if fault := s.at.group.fault; fault != nil {
		if code := fault(s.at.ID, text); code != "" {
			return "ERROR " + code + " " + s.at.ID + "\r\n"
		}
	}
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return s.refuse("MALFORMED")
	}
	if fields[0] == "WAITLSN" && len(fields) > 2 {
		if !s.holds(fields[1]) {
			return s.refuse("LAGGING")
		}
		fields = fields[2:]
	}
	if s.failed && fields[0] != "ROLLBACK" {
		return s.refuse("MALFORMED")
	}
	switch fields[0] {
	case "BEGIN":
		s.readOnly = len(fields) > 1
		if !s.readOnly && !s.at.primary {
			return s.refuse("READONLY")
		}
		s.open = true
		return done
	case "ROLLBACK":
		s.open, s.failed, s.writes = false, false, nil
		return done
	case "COMMIT":
		return s.commit(id)
	case "SET", "CLOSE":
		return done
	case "RESET":
		s.prepared = make(map[string]prepared)
		return done
	case "PARSE":
		if len(fields) < 4 {
			return s.refuse("MALFORMED")
		}
		s.prepared[fields[1]] = prepared{fields[2], fields[3]}
		return done
	case "STATUS":
		return s.status()
	case "STEPDOWN":
		if term, err := strconv.ParseUint(fields[1], 10, 64); err == nil && term > s.at.term {
			s.at.primary = false
			s.at.group.register(s.at)
		}
		return s.status()
	case "EXECUTE":
		definition, ok := s.prepared[fields[1]]
		if !ok {
			return s.refuse("NOSTMT")
		}
		return s.access(id, definition.access, definition.shape, fields[1:])
	default:
		return s.access(id, fields[0], "", fields)
	}
}

// prepared is a prepared statement.
type prepared struct{ access, shape string }

// holds reports whether the log has a position.
func (s *session) holds(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	wantTerm, errTerm := strconv.ParseUint(term, 10, 64)
	wantNumber, errNumber := strconv.Atoi(number)
	hasTerm, hasNumber := s.at.position(time.Now())
	return errTerm == nil && errNumber == nil && hasTerm >= wantTerm && hasNumber >= wantNumber
}

// access runs a read or a write of the item that fields[1] names.
func (s *session) access(id, access, shape string, fields []string) string {
	if len(fields) < 2 {
		return s.refuse("MALFORMED")
	}
	switch access {
	case "READ":
		s.at.ran[id]++
		value := s.at.value(fields[1], time.Now())
		for _, w := range s.writes {
			if w.item == fields[1] {
				value = w.data
			}
		}
		signature := s.ran(Run{Request: id, Verb: access, Shape: shape, Row: value})
		return fmt.Sprintf("DATAROW %s\r\nCOMPLETE %s\r\n", value, signature)
	case "WRITE":
		if !s.at.primary || s.readOnly && s.open {
			return s.refuse("READONLY")
		}
		s.at.ran[id]++
		w := write{request: id, item: fields[1], data: strings.Join(fields[2:], " ")}
		run := Run{Request: id, Verb: access, Shape: shape}
		if s.open {
			s.writes = append(s.writes, w)
		} else {
			s.at.group.commit(s.at, []write{w})
			run.Committed = []string{id}
		}
		return fmt.Sprintf("COMPLETE %s\r\n", s.ran(run))
	default:
		return s.refuse("MALFORMED")
	}
}

func (s *session) commit(id string) string {
	if !s.open {
		return s.refuse("MALFORMED")
	}
	writes := s.writes
	s.open, s.writes = false, nil
	if len(writes) > 0 {
		if !s.at.primary {
			return s.refuse("READONLY")
		}
		s.at.group.commit(s.at, writes)
	}
	s.at.ran[id]++
	run := Run{Request: id, Verb: "COMMIT"}
	if len(writes) > 0 {
		run.Committed = []string{id}
	}
	for _, w := range writes {
		run.Committed = append(run.Committed, w.request)
	}
	return fmt.Sprintf("COMPLETE %s\r\n", s.ran(run))
}

// ran tells the observer of a statement that has run and returns its signature.
func (s *session) ran(run Run) string {
	g := s.at.group
	g.signed++
	run.Signature = fmt.Sprintf("%s.%s.%d", s.at.ID, s.at.positionText(time.Now()), g.signed)
	if g.observer != nil {
		leader := g.leader()
		run.At, run.Instance, run.Tenant, run.Transaction = time.Now(), s.at.ID, s.tenant, s.open || run.Verb == "COMMIT"
		run.Superseded = leader != nil && leader.term > s.at.term
		g.observer.Ran(run)
	}
	return run.Signature
}

func (s *session) status() string {
	role := "replica"
	if s.at.primary {
		role = "primary"
	}
	return fmt.Sprintf("DATAROW %s %d %d.%d %d 0 0 %d\r\n%s",
		role, s.at.term, s.at.term, len(s.at.log), s.at.term, s.at.connections, done)
}
