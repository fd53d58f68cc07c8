package supervisor

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/promotion"
)

// The statements of the commands. The advisory lock keeps other hosts from executing
// a command between the check of the term state and the changes that depend on it.
const (
	// commandLock is the key of the advisory lock, an arbitrary constant.
	commandLock        = 7_214_009
	termStateStatement = "SELECT current_setting('auburnyoke.mark', true)"
	roleStatement      = "SELECT pg_is_in_recovery()"
	reloadStatement    = "SELECT pg_reload_conf()"
	receiverStatement  = "SELECT status FROM pg_stat_wal_receiver"
	positionsStatement = "SELECT pg_last_wal_receive_lsn(), pg_last_wal_replay_lsn()"
	promoteStatement   = "SELECT pg_promote(true)"
	streamingStatus    = "streaming"
)

const (
	// commandTimeout limits one command. The promotion module repeats commands.
	commandTimeout = 2 * time.Second
	// receiverPollInterval is the time between two checks of a WAL receiver that
	// starts or stops.
	receiverPollInterval = 5 * time.Millisecond
	// receiverTimeout limits the wait until the WAL receiver has started or
	// stopped.
	receiverTimeout = time.Second
)

// runCommands executes the queued commands.
func (m *monitor) runCommands(ctx context.Context) {
	for {
		select {
		case command := <-m.commands:
			if err := m.execute(ctx, command); err != nil {
				m.supervisor.Logger.Info().Err(err).Type("order", command).Str("group", string(m.key.group)).
					Str("instance", string(m.key.instance)).Msg("order to instance not carried out")
			}
		default:
			return
		}
	}
}

// execute executes one command under the advisory lock of the instance. It drops the
// command while another host holds the lock, since the promotion module repeats it.
// Waiting for the lock would occupy one of the instance's slots, which the holder of
// the lock needs, and a wait that is given up leaves its connection open at the
// instance.
func (m *monitor) execute(ctx context.Context, command proxy.Effect) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if _, err := m.connect(ctx); err != nil {
		return err
	}
	row, err := m.query(ctx, fmt.Sprintf("SELECT pg_try_advisory_lock(%d)", commandLock))
	if err != nil {
		m.disconnect() // ends a session that may hold the lock
		return fmt.Errorf("take the advisory lock: %w", err)
	}
	if len(row) != 1 || row[0] != "t" {
		return nil
	}
	err = m.executeLocked(ctx, command)
	if _, unlockErr := m.query(ctx, fmt.Sprintf("SELECT pg_advisory_unlock(%d)", commandLock)); unlockErr != nil {
		m.disconnect()
	}
	return err
}

func (m *monitor) executeLocked(ctx context.Context, command proxy.Effect) error {
	row, err := m.query(ctx, termStateStatement)
	if err != nil {
		return fmt.Errorf("read auburnyoke.mark: %w", err)
	}
	if len(row) != 1 {
		return eris.New("read auburnyoke.mark: no row")
	}
	state, err := parseTermState(row[0])
	if err != nil {
		return err
	}
	switch c := command.(type) {
	case promotion.Detach:
		return m.detach(ctx, state, c)
	case promotion.Follow:
		return m.follow(ctx, state, c)
	case promotion.Promote:
		return m.promote(ctx, state, c)
	}
	return eris.Errorf("command %T is not known", command)
}

// detach makes a replica leave a term. The term state is written only after the WAL
// receiver has stopped and everything received is replayed, since the position of a
// replica that has left its term must be final.
func (m *monitor) detach(ctx context.Context, state promotion.TermState, command promotion.Detach) error {
	if state.LeftTerm >= command.Term {
		return nil
	}
	if inRecovery, err := m.inRecovery(ctx); err != nil || !inRecovery {
		return err
	}
	left := promotion.TermState{Term: state.Term, LeftTerm: command.Term}
	if state.Term > command.Term {
		return m.writeTermState(ctx, left)
	}
	if err := m.setSource(ctx, ""); err != nil {
		return err
	}
	if err := m.waitUntil(ctx, m.receiverStopped); err != nil {
		return fmt.Errorf("stop receiver: %w", err)
	}
	return m.writeTermState(ctx, left)
}

// follow makes an instance follow a primary. The term state is written once the
// instance receives the primary's log, which shows that its own log is a prefix of
// that log. An instance that must be rewound restarts, which ends this connection;
// when the command is repeated, the instance is a replica.
func (m *monitor) follow(ctx context.Context, state promotion.TermState, command promotion.Follow) error {
	if state != command.Expected || state.LeftTerm >= command.Term || state.Term >= command.Term {
		return nil
	}
	source, err := m.sourceOf(command.Primary)
	if err != nil {
		return err
	}
	row, err := m.query(ctx, "SHOW primary_conninfo")
	if err != nil {
		return fmt.Errorf("read primary_conninfo: %w", err)
	}
	if len(row) != 1 || row[0] != source {
		if err := m.setSource(ctx, source); err != nil {
			return err
		}
	}
	if err := m.waitUntil(ctx, m.receiverStreaming); err != nil {
		return fmt.Errorf("start receiver: %w", err)
	}
	return m.writeTermState(ctx, promotion.TermState{Term: command.Term, LeftTerm: state.LeftTerm})
}

// promote makes a replica the primary of a term. The promotion and the term state are
// sent together, so that a failure of this host cannot separate them.
func (m *monitor) promote(ctx context.Context, state promotion.TermState, command promotion.Promote) error {
	if state != command.Expected || state.LeftTerm >= command.Term || state.LeftTerm < state.Term || state.Term >= command.Term {
		return nil
	}
	if inRecovery, err := m.inRecovery(ctx); err != nil || !inRecovery {
		return err
	}
	pipeline := m.conn.StartPipeline(ctx)
	promoted := promotion.TermState{Term: command.Term, LeftTerm: state.LeftTerm}
	for _, statement := range []string{promoteStatement, termStateSetting(promoted), reloadStatement} {
		pipeline.SendQueryParams(statement, nil, nil, nil, nil)
		pipeline.SendPipelineSync()
	}
	if err := pipeline.Flush(); err != nil {
		m.disconnect()
		return fmt.Errorf("send promotion: %w", err)
	}
	if err := pipeline.Close(); err != nil {
		return fmt.Errorf("promote: %w", err)
	}
	m.supervisor.Logger.Info().Str("group", string(m.key.group)).Str("instance", string(m.key.instance)).
		Uint64("term", uint64(command.Term)).Msg("instance promoted")
	return nil
}

func (m *monitor) inRecovery(ctx context.Context) (bool, error) {
	row, err := m.query(ctx, roleStatement)
	if err != nil {
		return false, fmt.Errorf("read role: %w", err)
	}
	return len(row) == 1 && row[0] == "t", nil
}

// waitUntil polls condition until it is true, fails or receiverTimeout has passed.
func (m *monitor) waitUntil(ctx context.Context, condition func(context.Context) (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, receiverTimeout)
	defer cancel()
	for {
		ok, err := condition(ctx)
		if err != nil || ok {
			return err
		}
		select {
		case <-time.After(receiverPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// receiverStreaming reports whether the replica receives the log of its source.
func (m *monitor) receiverStreaming(ctx context.Context) (bool, error) {
	row, err := m.query(ctx, receiverStatement)
	return len(row) == 1 && row[0] == streamingStatus, err
}

// receiverStopped reports whether no WAL receiver runs and the received log is replayed.
func (m *monitor) receiverStopped(ctx context.Context) (bool, error) {
	row, err := m.query(ctx, receiverStatement)
	if err != nil || len(row) > 0 {
		return false, err
	}
	row, err = m.query(ctx, positionsStatement)
	return len(row) == 2 && (row[0] == "" || row[0] == row[1]), err
}

func (m *monitor) setSource(ctx context.Context, source string) error {
	statement := fmt.Sprintf("ALTER SYSTEM SET primary_conninfo = '%s'", source)
	if _, err := m.query(ctx, statement); err != nil {
		return fmt.Errorf("set primary_conninfo: %w", err)
	}
	if _, err := m.query(ctx, reloadStatement); err != nil {
		return fmt.Errorf("set primary_conninfo: %w", err)
	}
	return nil
}

func (m *monitor) writeTermState(ctx context.Context, state promotion.TermState) error {
	if _, err := m.query(ctx, termStateSetting(state)); err != nil {
		return fmt.Errorf("set auburnyoke.mark: %w", err)
	}
	if _, err := m.query(ctx, reloadStatement); err != nil {
		return fmt.Errorf("set auburnyoke.mark: %w", err)
	}
	return nil
}

// sourceOf returns the connection string of another instance of the group.
func (m *monitor) sourceOf(instance proxy.InstanceID) (string, error) {
	for _, i := range m.group.Instances {
		if i.ID != instance {
			continue
		}
		host, port, err := net.SplitHostPort(i.AddressIn(m.supervisor.Stage))
		if err != nil {
			return "", fmt.Errorf("address of %s: %w", instance, err)
		}
		return fmt.Sprintf("host=%s port=%s user=%s", host, port, m.supervisor.User), nil
	}
	return "", eris.Errorf("instance %s is not in group %s", instance, m.key.group)
}

// termStateSetting returns the statement that stores a term state on an instance. A
// setting survives a restart and, unlike a table, can be written on a replica.
func termStateSetting(state promotion.TermState) string {
	return fmt.Sprintf("ALTER SYSTEM SET auburnyoke.mark = '%d:%d'", state.Term, state.LeftTerm)
}

// parseTermState parses the setting that stores a term state. It is empty on an
// instance that has never followed a term.
func parseTermState(text string) (promotion.TermState, error) {
	if text == "" {
		return promotion.TermState{}, nil
	}
	term, left, ok := strings.Cut(text, ":")
	if !ok {
		return promotion.TermState{}, eris.Errorf("auburnyoke.mark %q: want two numbers separated by a colon", text)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return promotion.TermState{}, fmt.Errorf("auburnyoke.mark %q: %w", text, err)
	}
	l, err := strconv.ParseUint(left, 10, 64)
	if err != nil {
		return promotion.TermState{}, fmt.Errorf("auburnyoke.mark %q: %w", text, err)
	}
	return promotion.TermState{Term: proxy.Term(t), LeftTerm: proxy.Term(l)}, nil
}
