package instance

import (
	"fmt"
	"net"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// conninfoSetting names the connection string of the primary that a replica
// follows.
const conninfoSetting = "primary_conninfo"

// alterSystem changes a setting of the instance. The change takes effect at once.
func (s *session) alterSystem(stmt alterSystemStatement) error {
	if stmt.name == conninfoSetting {
		if _, err := sourceHost(stmt.value); stmt.value != "" && err != nil {
			return errorf(proxy.InvalidParameterValue, "%v", err)
		}
		s.engine.Follow(stmt.value, false)
		return nil
	}
	s.engine.SetSystemSetting(stmt.name, stmt.value)
	return nil
}

// sourceHost returns the host:port of a source, which is either a host:port or a
// libpq connection string.
func sourceHost(source string) (string, error) {
	if !strings.Contains(source, "=") {
		return source, nil
	}
	config, err := pgconn.ParseConfig(source)
	if err != nil {
		return "", fmt.Errorf("connection string of the primary: %w", err)
	}
	return net.JoinHostPort(config.Host, strconv.Itoa(int(config.Port))), nil
}

// SetSystemSetting stores a setting of ALTER SYSTEM; an empty value removes it.
func (e *Engine) SetSystemSetting(name, value string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if value == "" {
		delete(e.systemSettings, name)
		return
	}
	e.systemSettings[name] = value
}

// SystemSetting returns a setting of ALTER SYSTEM.
func (e *Engine) SystemSetting(name string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	value, ok := e.systemSettings[name]
	return value, ok
}

// NeedsRewind returns the source, and whether the instance must be rewound before it
// can follow it: it is a primary or its log has diverged.
func (e *Engine) NeedsRewind() (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.source, e.source != "" && !e.cut && (e.primary || e.diverged)
}

// advisoryLock waits for a session-level advisory lock and takes it.
func advisoryLock(s *session, arguments []value) (value, error) {
	key, err := arguments[0].integer()
	if err != nil {
		return value{}, err
	}
	for {
		changed, taken := s.engine.AdvisoryLock(s, key)
		if taken {
			return value{oid: oidVoid}, nil
		}
		select {
		case <-changed:
		case <-s.ctx.Done():
			return value{}, s.ctx.Err()
		}
	}
}

// tryAdvisoryLock takes the lock if it is free and reports whether it did.
func tryAdvisoryLock(s *session, arguments []value) (value, error) {
	key, err := arguments[0].integer()
	if err != nil {
		return value{}, err
	}
	_, taken := s.engine.AdvisoryLock(s, key)
	return boolValue(taken), nil
}

func advisoryUnlock(s *session, arguments []value) (value, error) {
	key, err := arguments[0].integer()
	if err != nil {
		return value{}, err
	}
	return boolValue(s.engine.AdvisoryUnlock(s, key)), nil
}

// AdvisoryLock takes the lock for a session. If another session holds it, it returns
// false and a channel that is closed at the next change.
func (e *Engine) AdvisoryLock(owner *session, key int64) (<-chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if holder, held := e.advisoryLocks[key]; held && holder != owner {
		return e.changed, false
	}
	e.advisoryLocks[key] = owner
	return nil, true
}

// AdvisoryUnlock releases the lock and reports whether the session held it.
func (e *Engine) AdvisoryUnlock(owner *session, key int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.advisoryLocks[key] != owner {
		return false
	}
	delete(e.advisoryLocks, key)
	e.notify()
	return true
}

// AdvisoryUnlockAll releases all advisory locks of a session.
func (e *Engine) AdvisoryUnlockAll(owner *session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, holder := range e.advisoryLocks {
		if holder == owner {
			delete(e.advisoryLocks, key)
			e.notify()
		}
	}
}
