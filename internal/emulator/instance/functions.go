package instance

import (
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// function is an SQL function that returns null if an argument is null. arguments
// and result are type OIDs. run is nil for count(*), which SELECT computes.
type function struct {
	arguments []uint32
	required  int // number of arguments without a default
	result    uint32
	run       func(s *session, arguments []value) (value, error)
}

// functions lists the functions by name.
var functions = map[string]function{
	"count":                   {nil, 0, pgtype.Int8OID, nil},
	"repeat":                  {[]uint32{pgtype.TextOID, pgtype.Int4OID}, 2, pgtype.TextOID, repeat},
	"length":                  {[]uint32{pgtype.TextOID}, 1, pgtype.Int4OID, length},
	"pg_sleep":                {[]uint32{pgtype.Float8OID}, 1, oidVoid, sleep},
	"current_setting":         {[]uint32{pgtype.TextOID, pgtype.BoolOID}, 1, pgtype.TextOID, currentSetting},
	"set_config":              {[]uint32{pgtype.TextOID, pgtype.TextOID, pgtype.BoolOID}, 3, pgtype.TextOID, setConfig},
	"pg_backend_pid":          {nil, 0, pgtype.Int4OID, backendPID},
	"pg_is_in_recovery":       {nil, 0, pgtype.BoolOID, isInRecovery},
	"pg_current_wal_lsn":      {nil, 0, oidLSN, currentPosition},
	"pg_last_wal_receive_lsn": {nil, 0, oidLSN, receivedPosition},
	"pg_last_wal_replay_lsn":  {nil, 0, oidLSN, replayedPosition},
	"pg_wal_lsn_diff":         {[]uint32{oidLSN, oidLSN}, 2, pgtype.Int8OID, positionDifference},
	"pg_promote":              {[]uint32{pgtype.BoolOID, pgtype.Int4OID}, 0, pgtype.BoolOID, promote},
	"pg_advisory_lock":        {[]uint32{pgtype.Int8OID}, 1, oidVoid, advisoryLock},
	"pg_try_advisory_lock":    {[]uint32{pgtype.Int8OID}, 1, pgtype.BoolOID, tryAdvisoryLock},
	"pg_advisory_unlock":      {[]uint32{pgtype.Int8OID}, 1, pgtype.BoolOID, advisoryUnlock},
	"pg_reload_conf":          {nil, 0, pgtype.BoolOID, reload},
	"version":                 {nil, 0, pgtype.TextOID, version},
}

// maxTextBytes is PostgreSQL's limit on the size of a value.
const maxTextBytes = 1 << 30

func repeat(_ *session, arguments []value) (value, error) {
	n, err := arguments[1].integer()
	if err != nil {
		return value{}, err
	}
	n = max(n, 0)
	if n*int64(len(arguments[0].text)) > maxTextBytes {
		return value{}, errorf(stateOutOfRange, "requested length too large")
	}
	return textValue(strings.Repeat(arguments[0].text, int(n))), nil
}

func length(_ *session, arguments []value) (value, error) {
	return intValue(int64(len([]rune(arguments[0].text)))).convert(pgtype.Int4OID)
}

// maxSleep limits pg_sleep, whose argument may exceed the range of time.Duration.
const maxSleep = 24 * 365 * time.Hour

func sleep(s *session, arguments []value) (value, error) {
	seconds, err := arguments[0].float()
	if err != nil {
		return value{}, err
	}
	seconds = min(seconds, maxSleep.Seconds())
	err = s.pause(time.Duration(seconds * float64(time.Second)))
	return value{oid: oidVoid}, err
}

func currentSetting(s *session, arguments []value) (value, error) {
	text, ok := s.show(strings.ToLower(arguments[0].text))
	if ok {
		return textValue(text), nil
	}
	if len(arguments) > 1 && arguments[1].isTrue() {
		return nullValue(pgtype.TextOID), nil
	}
	return value{}, unknownSetting(arguments[0].text)
}

func setConfig(s *session, arguments []value) (value, error) {
	text := arguments[1].text
	err := s.set(strings.ToLower(arguments[0].text), &text, arguments[2].isTrue())
	return textValue(text), err
}

func backendPID(s *session, _ []value) (value, error) {
	return value{oid: pgtype.Int4OID, text: strconv.FormatUint(uint64(s.pid), 10)}, nil
}

func isInRecovery(s *session, _ []value) (value, error) {
	return boolValue(!s.engine.State().Primary), nil
}

func currentPosition(s *session, _ []value) (value, error) {
	state := s.engine.State()
	if !state.Primary {
		return value{}, errorf(stateNotInPrerequisite, "recovery is in progress")
	}
	return lsnValue(state.Received), nil
}

func receivedPosition(s *session, _ []value) (value, error) {
	state := s.engine.State()
	if state.Primary {
		return nullValue(oidLSN), nil
	}
	return lsnValue(state.Received), nil
}

func replayedPosition(s *session, _ []value) (value, error) {
	state := s.engine.State()
	if state.Primary {
		return nullValue(oidLSN), nil
	}
	return lsnValue(state.Replayed), nil
}

func positionDifference(_ *session, arguments []value) (value, error) {
	a, err := proxy.ParsePosition(arguments[0].text)
	if err != nil {
		return value{}, err
	}
	b, err := proxy.ParsePosition(arguments[1].text)
	return intValue(int64(a) - int64(b)), err
}

func promote(s *session, _ []value) (value, error) {
	return boolValue(true), s.engine.Promote()
}

// reload has nothing to do, since ALTER SYSTEM takes effect at once.
func reload(*session, []value) (value, error) {
	return boolValue(true), nil
}

func version(*session, []value) (value, error) {
	return textValue("PostgreSQL " + serverVersion + " (emulated)"), nil
}
