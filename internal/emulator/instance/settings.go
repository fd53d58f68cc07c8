package instance

import (
	"maps"
	"strings"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// serverVersion is the PostgreSQL version whose behaviour is emulated.
const serverVersion = "17.0"

// reportedSettings are reported by ParameterStatus, as in PostgreSQL 17.
var reportedSettings = []string{
	"application_name", "client_encoding", "datestyle", "default_transaction_read_only",
	"in_hot_standby", "integer_datetimes", "intervalstyle", "is_superuser", "scram_iterations",
	"search_path", "server_encoding", "server_version", "session_authorization",
	"standard_conforming_strings", "timezone",
}

// reportedSpelling maps the reported names that contain capitals to their spelling.
var reportedSpelling = map[string]string{
	"datestyle": "DateStyle", "intervalstyle": "IntervalStyle", "timezone": "TimeZone",
}

// readOnlySettings cannot be set by a session.
var readOnlySettings = map[string]bool{
	"in_hot_standby": true, "integer_datetimes": true, "is_superuser": true, "primary_conninfo": true,
	"server_encoding": true, "server_version": true, "max_connections": true,
}

// defaultSettings returns the settings of a new session.
func defaultSettings(user string) map[string]string {
	return map[string]string{
		"application_name": "", "client_encoding": "UTF8", "client_min_messages": "notice",
		"datestyle": "ISO, MDY", "default_transaction_isolation": "read committed",
		"default_transaction_read_only": "off", "extra_float_digits": "1",
		"idle_in_transaction_session_timeout": "0", "integer_datetimes": "on",
		"intervalstyle": "postgres", "is_superuser": "on", "lock_timeout": "0",
		"scram_iterations": "4096", "search_path": "\"$user\", public", "server_encoding": "UTF8",
		"server_version": serverVersion, "session_authorization": user,
		"standard_conforming_strings": "on", "statement_timeout": "0", "synchronous_commit": "on",
		"timezone": "UTC", "transaction_isolation": "read committed", "work_mem": "4MB",
	}
}

// settings holds the setting values of a session. Local values end with the
// transaction. The maps session and local are replaced, never changed, so that a copy
// of the struct is a snapshot that a rollback can restore.
type settings struct {
	initial map[string]string // after the startup message
	session map[string]string
	local   map[string]string
}

func newSettings(user string, startup map[string]string) (settings, error) {
	s := settings{initial: defaultSettings(user)}
	for name, text := range startup {
		name = strings.ToLower(name)
		switch name {
		case "user", "database", "replication":
			continue
		case "options":
			for name, text := range parseOptionsParameter(text) {
				if err := s.setInitial(name, text); err != nil {
					return s, err
				}
			}
			continue
		}
		if err := s.setInitial(name, text); err != nil {
			return s, err
		}
	}
	s.session = s.initial
	return s, nil
}

// setInitial sets an initial value.
func (s settings) setInitial(name, text string) error {
	if err := s.checkValue(name, text); err != nil {
		return err
	}
	s.initial[name] = text
	return nil
}

// parseOptionsParameter reads the settings in the startup parameter "options", such
// as "-c name=value".
func parseOptionsParameter(options string) map[string]string {
	values := make(map[string]string)
	for _, word := range strings.Fields(options) {
		word = strings.TrimPrefix(strings.TrimPrefix(word, "-c"), "--")
		if name, text, ok := strings.Cut(word, "="); ok {
			values[strings.ToLower(name)] = text
		}
	}
	return values
}

// with returns a copy of values in which name has the value text.
func with(values map[string]string, name, text string) map[string]string {
	changed := make(map[string]string, len(values)+1)
	maps.Copy(changed, values)
	changed[name] = text
	return changed
}

// without returns a copy of values that lacks name.
func without(values map[string]string, name string) map[string]string {
	if _, ok := values[name]; !ok {
		return values
	}
	changed := maps.Clone(values)
	delete(changed, name)
	return changed
}

// checkValue returns an error if a setting cannot be set to text. Any name with a dot
// is allowed.
func (s settings) checkValue(name, text string) error {
	_, known := s.initial[name]
	switch {
	case readOnlySettings[name]:
		return errorf(stateCannotChange, "parameter %q cannot be changed", name)
	case !known && !strings.Contains(name, "."):
		return unknownSetting(name)
	case strings.HasSuffix(name, "_isolation") && !strings.HasPrefix(strings.ToLower(text), "read "):
		return errorf(proxy.FeatureNotSupported, "the emulator has only the isolation level READ COMMITTED")
	case name == "client_encoding" && !isUTF8(text):
		return errorf(proxy.FeatureNotSupported, "the emulator has only the encoding UTF8")
	}
	if _, ok := parseBoolean(text); name == "default_transaction_read_only" && !ok {
		return errorf(proxy.InvalidParameterValue, "parameter %q requires a Boolean value", name)
	}
	return nil
}

func isUTF8(encoding string) bool {
	return strings.EqualFold(strings.ReplaceAll(encoding, "-", ""), "utf8")
}

// parseBoolean reads the value of a Boolean setting.
func parseBoolean(text string) (on, ok bool) {
	switch strings.ToLower(text) {
	case "on", "true", "yes", "1":
		return true, true
	case "off", "false", "no", "0":
		return false, true
	}
	return false, false
}

func unknownSetting(name string) error {
	return errorf(stateUndefinedObject, "unrecognized configuration parameter %q", name)
}

// set changes a setting of the session, or of its transaction if local is set. nil
// restores the initial value.
func (s *session) set(name string, text *string, local bool) error {
	if name == "transaction_read_only" && text != nil {
		return s.setReadOnly(*text)
	}
	if text == nil {
		initial, known := s.settings.initial[name]
		if !known {
			s.settings.session = without(s.settings.session, name)
			s.settings.local = without(s.settings.local, name)
			return nil
		}
		text = &initial
	} else if err := s.settings.checkValue(name, *text); err != nil {
		return err
	}
	if local {
		s.settings.local = with(s.settings.local, name, *text)
		return nil
	}
	s.settings.session = with(s.settings.session, name, *text)
	s.settings.local = without(s.settings.local, name)
	return nil
}

// resetAll restores the initial values.
func (s *session) resetAll() {
	s.settings = settings{initial: s.settings.initial, session: s.settings.initial}
}

// setReadOnly changes the access mode of the transaction.
func (s *session) setReadOnly(text string) error {
	on, ok := parseBoolean(text)
	if !ok {
		return errorf(proxy.InvalidParameterValue, "parameter \"transaction_read_only\" requires a Boolean value")
	}
	access := accessReadWrite
	if on {
		access = accessReadOnly
	}
	return s.setAccessMode(access)
}

// show returns the value of a setting.
func (s *session) show(name string) (string, bool) {
	switch name {
	case "in_hot_standby":
		return onOff(!s.engine.State().Primary), true
	case "transaction_read_only":
		return onOff(s.readOnly || !s.engine.State().Primary), true
	case conninfoSetting:
		return s.engine.State().Source, true
	case "max_connections":
		return s.maxConnections(), true
	case "default_transaction_read_only":
		on, _ := parseBoolean(s.storedValue(name))
		return onOff(on), true
	}
	text := s.storedValue(name)
	_, known := s.settings.session[name]
	// ALTER SYSTEM stores only names with a dot in the engine. The others are
	// reported after each statement and must not take the engine's lock.
	if !known && strings.Contains(name, ".") {
		if system, ok := s.engine.SystemSetting(name); ok {
			return system, true
		}
	}
	return text, known || text != ""
}

// storedValue returns the local value of a setting, or else the session's value.
func (s *session) storedValue(name string) string {
	if text, ok := s.settings.local[name]; ok {
		return text
	}
	return s.settings.session[name]
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}
