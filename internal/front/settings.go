package front

import (
	"regexp"
	"slices"
	"strings"

	"github.com/auburnyoke/auburnyoke/internal/statement"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// readOnlySetting decides whether the session's transactions may read replicas.
const readOnlySetting = "default_transaction_read_only"

// setting is a setting with the statement that restores it.
type setting struct {
	name  string
	value string
	text  string
}

// savepoint remembers how many changes a transaction had made.
type savepoint struct {
	name    string
	changes int
}

// settings tracks what SET has changed. Changes take effect for later loans
// when their transaction commits.
type settings struct {
	base       []setting // from the startup message
	set        []setting
	version    uint64 // counts committed changes
	changes    []statement.Statement
	savepoints []savepoint
	// reset reports that a connection may lack the settings of the startup
	// message, because the session has reset its settings there.
	reset bool
}

var (
	settingName = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_$]*(\.[A-Za-z_][A-Za-z0-9_$]*)*$`)
	// listSettings take a list of quoted names; one quoted text would be one name.
	listSettings = []string{"search_path", "temp_tablespaces"}
	// connectionParameters of the startup message are not settings.
	connectionParameters = []string{"user", "database", "replication", "options"}
)

// startupSettings converts startup parameters to settings, ordered by name.
func startupSettings(parameters map[string]string) ([]setting, error) {
	var base []setting
	for name, value := range parameters {
		if slices.Contains(connectionParameters, name) || strings.HasPrefix(name, protocolOption) {
			continue
		}
		base = append(base, setting{name: strings.ToLower(name), value: value})
	}
	options, err := parseOptions(parameters["options"])
	if err != nil {
		return nil, err
	}
	base = append(base, options...)
	for i := range base {
		if !settingName.MatchString(base[i].name) {
			return nil, proxy.Refuse(proxy.InvalidParameterValue, "startup parameter %q is not a setting's name", base[i].name)
		}
		base[i].text = "SET " + quoteName(base[i].name) + " TO " + quoteValue(base[i].name, base[i].value)
	}
	slices.SortStableFunc(base, func(a, b setting) int { return strings.Compare(a.name, b.name) })
	return base, nil
}

// parseOptions reads -c name=value and --name=value, where a backslash protects
// the next character.
func parseOptions(options string) ([]setting, error) {
	var found []setting
	words := splitOptions(options)
	for i := 0; i < len(words); i++ {
		word := words[i]
		switch {
		case word == "-c" && i+1 < len(words):
			i++
			word = words[i]
		case strings.HasPrefix(word, "--"):
			word = word[2:]
		case strings.HasPrefix(word, "-c"):
			word = word[2:]
		default:
			return nil, proxy.Refuse(proxy.InvalidParameterValue, "startup option %q: want -c name=value", word)
		}
		name, value, ok := strings.Cut(word, "=")
		if !ok {
			return nil, proxy.Refuse(proxy.InvalidParameterValue, "startup option %q: want name=value", word)
		}
		name = strings.ToLower(strings.ReplaceAll(name, "-", "_"))
		found = append(found, setting{name: name, value: value})
	}
	return found, nil
}

func splitOptions(options string) []string {
	var words []string
	var current strings.Builder
	inside := false
	for i := 0; i < len(options); i++ {
		c := options[i]
		switch {
		case c == '\\' && i+1 < len(options):
			i++
			current.WriteByte(options[i])
			inside = true
		case c == ' ' || c >= '\t' && c <= '\r':
			if inside {
				words = append(words, current.String())
			}
			current.Reset()
			inside = false
		default:
			current.WriteByte(c)
			inside = true
		}
	}
	if inside {
		words = append(words, current.String())
	}
	return words
}

func quoteName(name string) string {
	return `"` + strings.ReplaceAll(name, ".", `"."`) + `"`
}

func quoteValue(name, value string) string {
	if !slices.Contains(listSettings, name) {
		return quoteText(value)
	}
	parts := strings.Split(value, ",")
	for i, part := range parts {
		parts[i] = quoteText(strings.Trim(strings.TrimSpace(part), `"`))
	}
	return strings.Join(parts, ", ")
}

func quoteText(value string) string {
	value = strings.ReplaceAll(value, "'", "''")
	if !strings.Contains(value, `\`) {
		return "'" + value + "'"
	}
	return "E'" + strings.ReplaceAll(value, `\`, `\\`) + "'"
}

// readOnly reports whether transactions are read-only by default.
func (s *settings) readOnly() bool {
	for _, list := range [][]setting{s.set, s.base} {
		for i := len(list) - 1; i >= 0; i-- {
			if list[i].name == readOnlySetting {
				return statement.IsOn(list[i].value)
			}
		}
	}
	return false
}

// restoring returns the statements that give a fresh connection the settings.
func (s *settings) restoring() []string {
	var texts []string
	for _, list := range [][]setting{s.base, s.set} {
		for _, one := range list {
			texts = append(texts, one.text)
		}
	}
	return texts
}

// ran notes a statement that succeeded inside the current transaction.
func (s *settings) ran(done statement.Statement, tag string) {
	switch done.Kind {
	case statement.Set, statement.Reset, statement.ResetAll, statement.Discard:
		s.changes = append(s.changes, done)
	case statement.Savepoint:
		s.savepoints = append(s.savepoints, savepoint{name: done.Name, changes: len(s.changes)})
	case statement.RollbackTo:
		s.rollbackTo(done.Name)
	case statement.Commit, statement.Rollback:
		// COMMIT of a failed transaction is answered by ROLLBACK.
		s.ended(tag != "ROLLBACK")
	}
}

func (s *settings) rollbackTo(name string) {
	for i := len(s.savepoints) - 1; i >= 0; i-- {
		if s.savepoints[i].name == name {
			s.changes = s.changes[:s.savepoints[i].changes]
			s.savepoints = s.savepoints[:i+1]
			return
		}
	}
}

// ended applies or drops the changes of a transaction.
func (s *settings) ended(committed bool) {
	if committed {
		for _, change := range s.changes {
			s.apply(change)
		}
	}
	s.changes = nil
	s.savepoints = nil
}

func (s *settings) apply(change statement.Statement) {
	s.version++
	switch change.Kind {
	case statement.ResetAll, statement.Discard:
		s.set = nil
		s.reset = true
		return
	case statement.Reset:
		s.reset = true
	}
	s.set = slices.DeleteFunc(s.set, func(one setting) bool { return one.name == change.Name })
	if change.Kind == statement.Set {
		s.set = append(s.set, setting{name: change.Name, value: change.Value, text: strings.Clone(change.Text)})
	}
}
