package environment

import (
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// AddKey returns the document's text with a key added to an account. Comments
// and layout stay as they are. The text must be a valid document.
func AddKey(text []byte, account proxy.AccountID, id proxy.KeyID, verifier proxy.Verifier) ([]byte, error) {
	document, root, err := decode(text)
	if err != nil {
		return nil, err
	}
	if err := proxy.CheckID("key", string(id)); err != nil {
		return nil, err
	}
	if owner, _ := findKey(document, id); owner >= 0 {
		return nil, eris.Errorf("key %q exists already", id)
	}
	at := slices.IndexFunc(document.Accounts, func(a proxy.Account) bool { return a.ID == account })
	if at < 0 {
		return nil, eris.Errorf("account %s: want the id of an account of this document", proxy.QuoteRedacted(string(account)))
	}
	e := newEditor(text)
	e.addKey(entryAt(root, "accounts", at), id, verifier.Text())
	keys := &document.Accounts[at].Keys
	*keys = append(*keys, proxy.AccountKey{ID: id, Verifier: verifier.Text()})
	return e.finish(document)
}

// WithdrawKey returns the document's text with a key marked as withdrawn, and
// the same text if it was already.
func WithdrawKey(text []byte, id proxy.KeyID) ([]byte, error) {
	document, root, err := decode(text)
	if err != nil {
		return nil, err
	}
	owner, at := findKey(document, id)
	if owner < 0 {
		return nil, eris.Errorf("key %s: want the id of a key of this document", proxy.QuoteRedacted(string(id)))
	}
	key := &document.Accounts[owner].Keys[at]
	if key.Withdrawn {
		return text, nil
	}
	key.Withdrawn = true
	e := newEditor(text)
	e.withdraw(entryAt(entryAt(root, "accounts", owner), "keys", at))
	return e.finish(document)
}

// findKey returns the indices of a key's account and of the key, or -1.
func findKey(document *proxy.Document, id proxy.KeyID) (account, key int) {
	for i, a := range document.Accounts {
		if j := slices.IndexFunc(a.Keys, func(k proxy.AccountKey) bool { return k.ID == id }); j >= 0 {
			return i, j
		}
	}
	return -1, -1
}

// entry returns a mapping's value of the given name, or nil.
func entry(node ast.Node, name string) *ast.MappingValueNode {
	for _, value := range node.(*ast.MappingNode).Values {
		if key, ok := value.Key.(*ast.StringNode); ok && key.Value == name {
			return value
		}
	}
	return nil
}

// entryAt returns an element of the list of the given name. The document was
// decoded, so that it exists.
func entryAt(node ast.Node, name string, index int) *ast.MappingNode {
	return entry(node, name).Value.(*ast.SequenceNode).Values[index].(*ast.MappingNode)
}

// editor changes a text at the places that a syntax tree gives.
type editor struct {
	// lines keep their line breaks.
	lines []string
	// end is the line break of the text.
	end string
}

func newEditor(text []byte) *editor {
	e := &editor{lines: strings.SplitAfter(string(text), "\n"), end: "\n"}
	if strings.HasSuffix(e.lines[0], "\r\n") {
		e.end = "\r\n"
	}
	return e
}

// finish checks that the edited text means what was intended. A layout that the
// editor does not know is refused and not damaged.
func (e *editor) finish(intended *proxy.Document) ([]byte, error) {
	text := []byte(strings.Join(e.lines, ""))
	document, err := Decode(text)
	if err != nil || !reflect.DeepEqual(document, intended) {
		return nil, eris.New("the layout of the account does not allow to edit it: want one line for each key and value")
	}
	return text, nil
}

func (e *editor) addKey(account *ast.MappingNode, id proxy.KeyID, verifier string) {
	flow := "{id: " + string(id) + ", verifier: " + strconv.Quote(verifier) + "}"
	keys := entry(account, "keys")
	if keys == nil && account.IsFlowStyle {
		e.insert(account.End, ", keys: ["+flow+"]")
		return
	}
	indent := positionOf(account).column - 1
	if keys == nil {
		e.insertLines(lastLine(account), indent, append([]string{"keys:"}, keyLines("  ", id, verifier)...))
		return
	}
	list := keys.Value.(*ast.SequenceNode)
	switch {
	case !list.IsFlowStyle:
		e.insertLines(lastLine(list), list.Start.Position.Column-1, keyLines("", id, verifier))
	case len(list.Values) > 0:
		e.insert(list.End, ", "+flow)
	case account.IsFlowStyle:
		e.insert(list.End, flow)
	default:
		line := list.Start.Position.Line
		e.remove(list)
		e.insertLines(line, indent, keyLines("  ", id, verifier))
	}
}

func keyLines(indent string, id proxy.KeyID, verifier string) []string {
	return []string{indent + "- id: " + string(id), indent + "  verifier: " + verifier}
}

func (e *editor) withdraw(key *ast.MappingNode) {
	flag := entry(key, "withdrawn")
	switch {
	case flag != nil:
		t := flag.Value.GetToken()
		start := e.offset(t)
		line := &e.lines[t.Position.Line-1]
		*line = (*line)[:start] + "true" + strings.TrimPrefix((*line)[start:], t.Value)
	case key.IsFlowStyle:
		e.insert(key.End, ", withdrawn: true")
	default:
		e.insertLines(lastLine(key), positionOf(key).column-1, []string{"withdrawn: true"})
	}
}

// lastLine returns the last line of a node, counted from one, without comments
// that follow it.
func lastLine(node ast.Node) int {
	last := &lineFinder{}
	ast.Walk(last, node)
	return last.line
}

type lineFinder struct{ line int }

// Visit implements ast.Visitor.
func (f *lineFinder) Visit(node ast.Node) ast.Visitor {
	if _, comment := node.(*ast.CommentGroupNode); comment {
		return nil
	}
	if t := node.GetToken(); t != nil {
		f.line = max(f.line, t.Position.Line)
	}
	if sequence, ok := node.(*ast.SequenceNode); ok && sequence.End != nil {
		f.line = max(f.line, sequence.End.Position.Line)
	}
	if mapping, ok := node.(*ast.MappingNode); ok && mapping.End != nil {
		f.line = max(f.line, mapping.End.Position.Line)
	}
	return f
}

// offset returns the byte offset of a token within its line.
func (e *editor) offset(t *token.Token) int {
	column := 1
	line := e.lines[t.Position.Line-1]
	for i := range line {
		if column == t.Position.Column {
			return i
		}
		column++
	}
	return len(line)
}

// insert puts text before a closing bracket.
func (e *editor) insert(before *token.Token, text string) {
	start := e.offset(before)
	line := &e.lines[before.Position.Line-1]
	*line = (*line)[:start] + text + (*line)[start:]
}

// insertLines puts lines after a line that is counted from one.
func (e *editor) insertLines(after, indent int, lines []string) {
	if previous := &e.lines[after-1]; !strings.HasSuffix(*previous, "\n") {
		*previous += e.end
	}
	var added []string
	for _, line := range lines {
		added = append(added, strings.Repeat(" ", indent)+line+e.end)
	}
	e.lines = slices.Insert(e.lines, after, added...)
}

// remove cuts an empty list, written as two brackets on one line, and the space
// before it.
func (e *editor) remove(list *ast.SequenceNode) {
	start, end := e.offset(list.Start), e.offset(list.End)
	line := &e.lines[list.Start.Position.Line-1]
	if list.Start.Position.Line == list.End.Position.Line {
		*line = strings.TrimRight((*line)[:start], " ") + (*line)[end+1:]
	}
}
