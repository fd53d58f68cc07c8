package deployment

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// session is a connection to an instance.
type session struct {
	// at is the instance that the session is connected to.
	at            *Instance
	account       string
	in            *bufio.Reader
	out           net.Conn
	prepared      map[string]prepared
	values        map[string]string
	inTransaction bool
	readOnly      bool
	failed        bool
	writes        []write
	// committed is the serial of the commit that the current statement has made; zero for
	// none.
	committed int
}

// serve serves a connection until it is closed or sends anything other than a query.
func (i *Instance) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	s := &session{at: i, in: bufio.NewReader(conn), out: conn, prepared: make(map[string]prepared), values: make(map[string]string)}
	line, err := readMessage(s.in)
	if err != nil {
		return
	}
	fields := strings.Split(line, " ")
	if len(fields) < 3 || fields[0] != "STARTUP" {
		_, _ = fmt.Fprint(conn, "ERROR MALFORMED startup\r\n")
		return
	}
	s.account = fields[2]
	g := i.group
	g.mu.Lock()
	refused := ""
	switch {
	case i.stopped: // the connection ends, as with a process that is gone
		g.mu.Unlock()
		return
	case fields[1] != g.Name || len(fields) > 3 && fields[3] != i.ID:
		refused = "MISROUTED " + i.ID
	case i.connections >= g.MaxConnections:
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
		line, err := readMessage(s.in)
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		g.mu.Lock()
		if g.arrived != nil && id != systemRequest {
			now := time.Now()
			g.arrived(Arrival{At: now, Instance: i.ID, Zone: i.Zone, Request: id, Cold: now.Before(i.coldUntil)})
		}
		if work := g.work; work != nil {
			g.mu.Unlock()
			time.Sleep(work(text))
			g.mu.Lock()
		}
		s.committed = 0
		answer := s.execute(id, text)
		state := "I"
		if s.failed {
			state = "E"
		} else if s.inTransaction {
			state = "T"
		}
		lost := g.lost > 0 && (strings.HasPrefix(text, "WRITE") || text == "COMMIT")
		if lost {
			g.lost--
		}
		g.mu.Unlock()
		if lost || s.committed != 0 && !g.awaitReceived(i, s.committed) {
			return
		}
		g.mu.Lock()
		answer += fmt.Sprintf("READY %s %s\r\n", state, i.positionText(time.Now()))
		g.mu.Unlock()
		if _, err := fmt.Fprint(conn, answer); err != nil {
			return
		}
	}
}

// systemRequest is the request id of the statements that hosts issue themselves.
const systemRequest = "-"

// completeLine is the answer to a successful statement without result.
const completeLine = "COMPLETE -\r\n"

// refuse returns an error answer. In a transaction, the transaction fails.
func (s *session) refuse(code string) string {
	s.failed = s.inTransaction
	return "ERROR " + code + " " + s.at.ID + "\r\n"
}

// execute runs a statement and returns the lines of the answer without the last,
// READY. The caller holds the group's lock.
func (s *session) execute(id, text string) string {
	if fault := s.at.group.fault; fault != nil {
		if code := fault(s.at.ID, text); code != "" {
			return "ERROR " + code + " " + s.at.ID + "\r\n"
		}
	}
	fields := strings.Split(text, " ")
	if text == "" {
		return s.refuse("MALFORMED")
	}
	if fields[0] == "WAITLSN" && len(fields) > 2 {
		if !s.hasApplied(fields[1]) {
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
		s.inTransaction = true
		return completeLine
	case "ROLLBACK":
		s.inTransaction, s.failed, s.writes = false, false, nil
		return completeLine
	case "COMMIT":
		return s.commit(id)
	case "SET":
		if len(fields) < 2 {
			return s.refuse("MALFORMED")
		}
		s.values[fields[1]] = strings.Join(fields[2:], " ")
		return completeLine
	case "CLOSE":
		return completeLine
	case "RESET":
		s.prepared, s.values = make(map[string]prepared), make(map[string]string)
		return completeLine
	case "PARSE":
		if len(fields) < 4 {
			return s.refuse("MALFORMED")
		}
		s.prepared[fields[1]] = prepared{fields[2], strings.Join(fields[3:], " ")}
		return completeLine
	case "STATUS":
		return s.status()
	case "STEPDOWN":
		if term, err := strconv.ParseUint(fields[1], 10, 64); err == nil && term > s.at.term {
			s.at.primary = false
			s.at.group.register(s.at)
			s.at.group.notifyReceived()
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

// prepared is a prepared statement that reads or writes an item.
type prepared struct{ access, shape string }

// hasApplied reports whether the instance has applied the log up to a position.
func (s *session) hasApplied(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	wantTerm, errTerm := strconv.ParseUint(term, 10, 64)
	wantNumber, errNumber := strconv.Atoi(number)
	hasTerm, hasNumber := s.at.position(time.Now())
	return errTerm == nil && errNumber == nil && hasTerm >= wantTerm && hasNumber >= wantNumber
}

// access reads or writes the item that fields[1] names.
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
		if !s.at.primary || s.readOnly && s.inTransaction {
			return s.refuse("READONLY")
		}
		s.at.ran[id]++
		w := write{request: id, item: fields[1], data: strings.Join(fields[2:], " ")}
		run := Run{Request: id, Verb: access, Shape: shape}
		if s.inTransaction {
			s.writes = append(s.writes, w)
		} else {
			s.committed = s.at.group.commit(s.at, []write{w})
			run.Committed = []string{id}
		}
		return fmt.Sprintf("COMPLETE %s\r\n", s.ran(run))
	default:
		return s.refuse("MALFORMED")
	}
}

// commit ends a transaction and applies its writes.
func (s *session) commit(id string) string {
	if !s.inTransaction {
		return s.refuse("MALFORMED")
	}
	writes := s.writes
	s.inTransaction, s.writes = false, nil
	if len(writes) > 0 {
		if !s.at.primary {
			return s.refuse("READONLY")
		}
		s.committed = s.at.group.commit(s.at, writes)
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

// ran reports a statement that has run to the observer and returns its signature.
func (s *session) ran(run Run) string {
	g := s.at.group
	g.signatureCount++
	run.Signature = fmt.Sprintf("%s.%s.%d", s.at.ID, s.at.positionText(time.Now()), g.signatureCount)
	if g.observer != nil {
		currentPrimary := g.currentPrimary()
		run.At, run.Instance, run.Account, run.Transaction = time.Now(), s.at.ID,
			s.account, s.inTransaction || run.Verb == "COMMIT"
		run.Values = s.valuesText()
		run.Superseded = currentPrimary != nil && currentPrimary.term > s.at.term
		g.observer.Ran(run)
	}
	return run.Signature
}

// valuesText returns the session values in the form of Run.Values.
func (s *session) valuesText() string {
	var texts []string
	for _, name := range slices.Sorted(maps.Keys(s.values)) {
		texts = append(texts, name+" "+s.values[name])
	}
	return strings.Join(texts, ",")
}

// status returns the answer to STATUS.
func (s *session) status() string {
	role := "replica"
	if s.at.primary {
		role = "primary"
	}
	return fmt.Sprintf("DATAROW %s %d %d.%d %d 0 0 %d\r\n%s",
		role, s.at.term, s.at.term, len(s.at.log), s.at.term, s.at.connections, completeLine)
}
