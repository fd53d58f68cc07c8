package instance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/emulator/instance"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// replicate copies log records from one engine to another, up to the one that reaches
// limit bytes.
func replicate(now proxy.Instant, from, to *instance.Engine, limit int) error {
	link, after, ok := to.Link()
	if !ok {
		return nil
	}
	records, err := from.Read(after, limit)
	if err != nil {
		to.MarkDiverged(link)
		return err
	}
	to.Receive(now, link, after, records)
	return nil
}

// write commits one value and returns the end of the log.
func write(e *instance.Engine, key, value string) (proxy.Position, error) {
	tx := e.Begin()
	if _, err := e.Lock(tx, key); err != nil {
		e.Rollback(tx)
		return 0, err
	}
	if err := e.Put(tx, key, &value); err != nil {
		e.Rollback(tx)
		return 0, err
	}
	return e.Commit(tx)
}

// Guards against a replica that shows a state the primary never had at the
// replayed position, or that replays before the lag has passed.
func TestReplicaShowsPrefixOfLogAfterLag(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	primary, replica := instance.NewEngine("a", true), instance.NewEngine("b", false)
	replica.Follow("a", false)
	replica.SetLag(100)
	states := map[proxy.Position][]instance.Row{}
	received := map[proxy.Position]proxy.Instant{}
	recordState := func() {
		states[primary.State().Received] = primary.Scan(primary.Begin())
	}
	recordState()
	for now := proxy.Instant(1000); now < 20000; now += proxy.Instant(random.IntN(40)) {
		switch random.IntN(3) {
		case 0:
			_, err := write(primary, fmt.Sprint(random.IntN(5)), fmt.Sprint(now))
			is.NoErr(err)
			recordState()
		case 1:
			is.NoErr(replicate(now, primary, replica, random.IntN(300)))
			if p := replica.State().Received; received[p] == 0 {
				received[p] = now
			}
		case 2:
			replica.Replay(now)
			s := replica.State()
			want, ok := states[s.Replayed]
			is.True(ok)
			is.Equal(replica.Scan(replica.Begin()), want)
			is.True(s.Replayed == logStart || now.Sub(received[s.Replayed]) >= 100 || received[s.Replayed] == 0)
		}
	}
	is.True(replica.State().Replayed > logStart)
}

// logStart is the position of an empty log.
const logStart proxy.Position = 0x1000000

// Guards against logs that mix records of diverged primaries after failovers: engines
// whose logs end at the same point must hold the same rows, and a rewound instance
// must be at the position of its source.
func TestRandomFailoversKeepHistoriesApart(t *testing.T) {
	for seed := range uint64(40) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 7))
		engines := map[string]*instance.Engine{}
		names := []string{"a", "b", "c"}
		for i, name := range names {
			engines[name] = instance.NewEngine(name, i == 0)
			engines[name].Follow("a", false)
		}
		pick := func() (string, *instance.Engine) {
			name := names[random.IntN(len(names))]
			return name, engines[name]
		}
		for step := range 300 {
			now := proxy.Instant(step)
			name, e := pick()
			other, source := pick()
			switch random.IntN(12) {
			case 0:
				wasPrimary := e.State().Primary
				is.Equal(e.Promote() != nil, wasPrimary)
			case 1:
				if name != other {
					e.Follow(other, true)
				}
			case 2:
				if name == other || source.State().Source == name {
					continue
				}
				segments, err := source.Segments()
				is.NoErr(err)
				e.Rewind(other, segments)
				is.NoErr(replicate(now, source, e, 1<<20))
				e.Replay(now)
				is.Equal(e.State().Received, source.State().Received)
			case 3, 4, 5, 6:
				_, err := write(e, fmt.Sprint(random.IntN(4)), fmt.Sprintf("%s%d", name, step))
				is.Equal(err == nil, e.State().Primary)
			default:
				if s := e.State(); s.Source != "" && s.Source != name {
					_ = replicate(now, engines[s.Source], e, random.IntN(200))
					e.Replay(now)
				}
			}
			checkLogs(is, engines)
		}
	}
}

// checkLogs compares the rows of all engines whose logs end at the same point.
func checkLogs(is *is.I, engines map[string]*instance.Engine) {
	seen := map[instance.LogPoint][]instance.Row{}
	for _, e := range engines {
		tail, err := e.Read(instance.LogPoint{Position: logStart}, 1<<30)
		is.NoErr(err)
		if len(tail) == 0 || e.State().Replayed != e.State().Received {
			continue
		}
		last := tail[len(tail)-1]
		end := instance.LogPoint{Position: last.End, Timeline: last.Timeline, Origin: last.Origin}
		rows := e.Scan(e.Begin())
		if want, ok := seen[end]; ok {
			is.Equal(rows, want)
		}
		seen[end] = rows
	}
}

// Guards against a fetch in flight that moves the received position after the
// source was changed or replication was cut.
func TestLateRecordsAreRefused(t *testing.T) {
	is := is.New(t)
	primary, replica := instance.NewEngine("a", true), instance.NewEngine("b", false)
	_, err := write(primary, "k", "1")
	is.NoErr(err)
	replica.Follow("a", false)
	link, after, ok := replica.Link()
	is.True(ok)
	records, err := primary.Read(after, 1<<20)
	is.NoErr(err)
	replica.SetCut(true)
	is.True(!replica.Receive(0, link, after, records))
	replica.SetCut(false)
	replica.Follow("", false)
	is.True(!replica.Receive(0, link, after, records))
	replica.Follow("a", false)
	is.True(!replica.Receive(0, link, after, records))
	is.Equal(replica.State().Received, logStart)
	link, after, _ = replica.Link()
	is.True(replica.Receive(0, link, after, records))
	is.True(!replica.Receive(0, link, after, records))
	is.Equal(replica.State().Received, primary.State().Received)
}

// startPair starts a primary and its replica and returns clients of both.
func startPair(t *testing.T) (primary, replica *instance.Instance, p, r *pgx.Conn) {
	primary = start(t, instance.Options{Name: "a"})
	replica = start(t, instance.Options{Name: "b", Source: primary.ControlAddress()})
	return primary, replica, connect(t, primary), connect(t, replica)
}

// waitCaughtUp waits until the replica has replayed the primary's log.
func waitCaughtUp(t *testing.T, p, r *pgx.Conn) {
	t.Helper()
	eventually(t, func() bool {
		return text(t, p, "SELECT pg_current_wal_lsn()") == text(t, r, "SELECT pg_last_wal_replay_lsn()")
	})
}

// Guards against a replica that accepts writes, reports wrong positions or
// replays during a lag.
func TestReplicaOverTheNetwork(t *testing.T) {
	is := is.New(t)
	_, replica, p, r := startPair(t)
	run(t, p, "INSERT INTO kv VALUES ('k', '1')")
	waitCaughtUp(t, p, r)
	is.Equal(text(t, r, "SELECT value FROM kv WHERE key = 'k'"), "1")
	_, err := r.Exec(background(t), "UPDATE kv SET value = '2'")
	is.Equal(sqlState(err), "25006")
	is.Equal(text(t, r, "SHOW in_hot_standby"), "on")

	is.NoErr(replica.SetFaults(instance.Faults{Lag: time.Hour}))
	run(t, p, "UPDATE kv SET value = '2'")
	eventually(t, func() bool {
		return text(t, p, "SELECT pg_current_wal_lsn()") == text(t, r, "SELECT pg_last_wal_receive_lsn()")
	})
	is.True(text(t, r, "SELECT pg_last_wal_replay_lsn()") < text(t, r, "SELECT pg_last_wal_receive_lsn()"))
	is.Equal(text(t, r, "SELECT value FROM kv WHERE key = 'k'"), "1")
	is.NoErr(replica.SetFaults(instance.Faults{}))
	waitCaughtUp(t, p, r)
}

// Guards against writes of an old primary that reach a replica after its source was
// removed, and against a diverged end of the log that survives or blocks a rewind.
func TestFencePromoteAndRewind(t *testing.T) {
	is := is.New(t)
	primary, replica, p, r := startPair(t)
	run(t, p, "INSERT INTO kv VALUES ('k', 'common')")
	waitCaughtUp(t, p, r)
	run(t, r, "ALTER SYSTEM SET primary_conninfo = ''")
	fenced := text(t, r, "SELECT pg_last_wal_receive_lsn()")
	run(t, p, "UPDATE kv SET value = 'lost'")
	is.Equal(text(t, r, "SELECT pg_last_wal_receive_lsn()"), fenced)
	is.Equal(text(t, r, "SELECT pg_promote()::text"), "true")
	is.Equal(text(t, r, "SELECT timeline_id::text FROM pg_control_checkpoint()"), "2")
	run(t, r, "UPDATE kv SET value = 'kept'")

	primary.Follow(replica.ControlAddress())
	eventually(t, func() bool { return primary.Status().Diverged })
	old := connect(t, primary)
	is.Equal(text(t, old, "SELECT value FROM kv"), "lost")
	is.NoErr(primary.Rewind(background(t), replica.ControlAddress()))
	old = connect(t, primary)
	waitCaughtUp(t, r, old)
	is.Equal(text(t, old, "SELECT value FROM kv"), "kept")
	is.Equal(text(t, old, "SELECT timeline_id::text FROM pg_control_checkpoint()"), "2")
}

// Guards against the fault cut letting records through, and against replication that
// does not resume after it.
func TestCutReplication(t *testing.T) {
	is := is.New(t)
	primary, _, p, r := startPair(t)
	waitCaughtUp(t, p, r)
	is.NoErr(primary.SetFaults(instance.Faults{Cut: true}))
	before := text(t, r, "SELECT pg_last_wal_receive_lsn()")
	run(t, p, "INSERT INTO kv VALUES ('k', '1')")
	is.Equal(text(t, r, "SELECT pg_last_wal_receive_lsn()"), before)
	is.NoErr(primary.SetFaults(instance.Faults{}))
	waitCaughtUp(t, p, r)
}
