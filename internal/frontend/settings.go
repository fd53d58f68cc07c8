package frontend

import (
	"regexp"
	"slices"
	"strings"

	"github.com/auburnyoke/auburnyoke/internal/statement"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// readOnlySetting determines whether the session's transactions may run on replicas.
const readOnlySetting = "default_transaction_read_only"

// setting is a setting of the session with the SET statement that restores it.
type setting struct {
	name  string
	value string
	text  string
}

// savepoint records how many settings its transaction had changed before it.
type savepoint struct {
	name    string
	changes int
}

// settings tracks the settings that the session has changed. Changes apply to
// connections that are acquired after their transaction has committed.
type settings struct {
	startup    []setting             // from the startup message
	set        []setting             // by SET, in committed transactions
	version    uint64                // counts committed changes
	changes    []statement.Statement // of the current transaction
	savepoints []savepoint           // of the current transaction
	// setBytes is the memory of set, changeBytes that of changes and savepoints.
	setBytes, changeBytes int
	// reset is set if the connection may lack the settings of the startup message,
	// because the session has reset settings on it.
	reset bool
}

var (
	settingName = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_$]*(\.[A-Za-z_][A-Za-z0-9_$]*)*$`)
	// listValuedSettings take a list of quoted names. If the whole list were quoted, it
	// would be one name.
	listValuedSettings = []string{"search_path", "temp_tablespaces"}
	// nonSettingParameters are parameters of the startup message that are not settings.
	nonSettingParameters = []string{"user", "database", "replication", "options"}
)

// startupSettings converts startup parameters to settings, ordered by name.
func startupSettings(parameters map[string]string) ([]setting, error) {
	var startup []setting
	for name, value := range parameters {
		if slices.Contains(nonSettingParameters, name) || strings.HasPrefix(name, protocolOptionPrefix) {
			continue
		}
		startup = append(startup, setting{name: strings.ToLower(name), value: value})
	}
	options, err := parseOptions(parameters["options"])
	if err != nil {
		return nil, err
	}
	startup = append(startup, options...)
	for i := range startup {
		if !settingName.MatchString(startup[i].name) {
			return nil, proxy.Refuse(proxy.InvalidParameterValue,
				"startup parameter %q is not a setting's name", startup[i].name)
		}
		startup[i].text = "SET " + quoteName(startup[i].name) + " TO " + quoteValue(startup[i].name, startup[i].value)
	}
	slices.SortStableFunc(startup, func(a, b setting) int { return strings.Compare(a.name, b.name) })
	return startup, nil
}

// parseOptions parses the startup parameter "options": -c name=value and --name=value,
// separated by white space. A backslash escapes the next character.
func parseOptions(options string) ([]setting, error) {
	var found []setting
	args := splitOptions(options)
	for i := 0; i < len(args); i++ {
		arg := args[i]
		switch {
		case arg == "-c" && i+1 < len(args):
			i++
			arg = args[i]
		case strings.HasPrefix(arg, "--"):
			arg = arg[2:]
		case strings.HasPrefix(arg, "-c"):
			arg = arg[2:]
		default:
			return nil, proxy.Refuse(proxy.InvalidParameterValue, "startup option %q: want -c name=value", arg)
		}
		name, value, ok := strings.Cut(arg, "=")
		if !ok {
			return nil, proxy.Refuse(proxy.InvalidParameterValue, "startup option %q: want name=value", arg)
		}
		name = strings.ToLower(strings.ReplaceAll(name, "-", "_"))
		found = append(found, setting{name: name, value: value})
	}
	return found, nil
}

func splitOptions(options string) []string {
	var args []string
	var current strings.Builder
	inWord := false
	for i := 0; i < len(options); i++ {
		c := options[i]
		switch {
		case c == '\\' && i+1 < len(options):
			i++
			current.WriteByte(options[i])
			inWord = true
		case c == ' ' || c >= '\t' && c <= '\r':
			if inWord {
				args = append(args, current.String())
			}
			current.Reset()
			inWord = false
		default:
			current.WriteByte(c)
			inWord = true
		}
	}
	if inWord {
		args = append(args, current.String())
	}
	return args
}

func quoteName(name string) string {
	return `"` + strings.ReplaceAll(name, ".", `"."`) + `"`
}

func quoteValue(name, value string) string {
	if !slices.Contains(listValuedSettings, name) {
		return quoteText(value)
	}
	elements := strings.Split(value, ",")
	for i, element := range elements {
		elements[i] = quoteText(strings.Trim(strings.TrimSpace(element), `"`))
	}
	return strings.Join(elements, ", ")
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
	for _, list := range [][]setting{s.set, s.startup} {
		for i := len(list) - 1; i >= 0; i-- {
			if list[i].name == readOnlySetting {
				return statement.IsOn(list[i].value)
			}
		}
	}
	return false
}

// restoreStatements returns the SET statements that apply the settings to a new
// connection.
func (s *settings) restoreStatements() []string {
	var statements []string
	for _, list := range [][]setting{s.startup, s.set} {
		for _, entry := range list {
			statements = append(statements, entry.text)
		}
	}
	return statements
}

// statementSucceeded records the effect of a statement that succeeded in the current
// transaction.
func (s *settings) statementSucceeded(stmt statement.Statement, tag string) {
	switch stmt.Kind {
	case statement.Set, statement.Reset, statement.ResetAll, statement.Discard:
		s.addChange(stmt)
	case statement.Savepoint:
		s.savepoints = append(s.savepoints, savepoint{name: strings.Clone(stmt.Name), changes: len(s.changes)})
		s.changeBytes += settingMemory + len(stmt.Name)
	case statement.RollbackTo:
		s.rollbackTo(stmt.Name)
	case statement.Commit, statement.Rollback:
		// The tag is ROLLBACK also after COMMIT of a failed transaction.
		s.endTransaction(tag != "ROLLBACK")
	}
}

// addChange records a change. Its texts are copied, since they are parts of a message.
func (s *settings) addChange(stmt statement.Statement) {
	stmt.Name, stmt.Value, stmt.Text = strings.Clone(stmt.Name), strings.Clone(stmt.Value), strings.Clone(stmt.Text)
	s.changes = append(s.changes, stmt)
	s.changeBytes += changeMemory(stmt)
}

// changeMemory returns the memory in bytes of a setting that a statement changes.
func changeMemory(stmt statement.Statement) int {
	return settingMemory + len(stmt.Name) + len(stmt.Value) + len(stmt.Text)
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

// endTransaction applies the changes of a committed transaction and discards those of
// any other.
func (s *settings) endTransaction(committed bool) {
	if committed && len(s.changes) > 0 {
		for _, change := range s.changes {
			s.apply(change)
		}
		s.setBytes = 0
		for _, entry := range s.set {
			s.setBytes += settingMemory + len(entry.name) + len(entry.value) + len(entry.text)
		}
	}
	s.changeBytes = 0
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
	s.set = slices.DeleteFunc(s.set, func(entry setting) bool { return entry.name == change.Name })
	if change.Kind == statement.Set {
		s.set = append(s.set, setting{name: change.Name, value: change.Value, text: change.Text})
	}
}
