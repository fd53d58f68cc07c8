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

// AddKey returns the text of a document with a key added to an account. It preserves
// comments and layout. The text must be a valid document.
func AddKey(text []byte, account proxy.AccountID, id proxy.KeyID, verifier proxy.Verifier) ([]byte, error) {
	document, root, err := decode(text)
	if err != nil {
		return nil, err
	}
	if err := proxy.CheckID("key", string(id)); err != nil {
		return nil, err
	}
	if accountIndex, _ := findKey(document, id); accountIndex >= 0 {
		return nil, eris.Errorf("key %q exists already", id)
	}
	index := slices.IndexFunc(document.Accounts, func(a proxy.Account) bool { return a.ID == account })
	if index < 0 {
		return nil, eris.Errorf("account %s: want the id of an account of this document", proxy.QuoteRedacted(string(account)))
	}
	e := newEditor(text)
	e.addKey(listElement(root, "accounts", index), id, verifier.Text())
	keys := &document.Accounts[index].Keys
	*keys = append(*keys, proxy.AccountKey{ID: id, Verifier: verifier.Text()})
	return e.finish(document)
}

// WithdrawKey returns the text of a document with a key marked as withdrawn. The text
// is unchanged if the key is withdrawn already.
func WithdrawKey(text []byte, id proxy.KeyID) ([]byte, error) {
	document, root, err := decode(text)
	if err != nil {
		return nil, err
	}
	accountIndex, keyIndex := findKey(document, id)
	if accountIndex < 0 {
		return nil, eris.Errorf("key %s: want the id of a key of this document", proxy.QuoteRedacted(string(id)))
	}
	key := &document.Accounts[accountIndex].Keys[keyIndex]
	if key.Withdrawn {
		return text, nil
	}
	key.Withdrawn = true
	e := newEditor(text)
	e.setWithdrawn(listElement(listElement(root, "accounts", accountIndex), "keys", keyIndex))
	return e.finish(document)
}

// findKey returns the indices of a key's account and of the key in that account, or -1
// for both.
func findKey(document *proxy.Document, id proxy.KeyID) (account, key int) {
	for i, a := range document.Accounts {
		if j := slices.IndexFunc(a.Keys, func(k proxy.AccountKey) bool { return k.ID == id }); j >= 0 {
			return i, j
		}
	}
	return -1, -1
}

// mappingEntry returns the entry of a mapping with the given name, or nil.
func mappingEntry(node ast.Node, name string) *ast.MappingValueNode {
	for _, value := range node.(*ast.MappingNode).Values {
		if key, ok := value.Key.(*ast.StringNode); ok && key.Value == name {
			return value
		}
	}
	return nil
}

// listElement returns an element of the list with the given name. The element must
// exist; callers know that from the decoded document.
func listElement(node ast.Node, name string, index int) *ast.MappingNode {
	return mappingEntry(node, name).Value.(*ast.SequenceNode).Values[index].(*ast.MappingNode)
}

// editor changes a text at positions that are given by nodes of its syntax tree.
type editor struct {
	// lines include their line breaks.
	lines []string
	// lineBreak is the line break that the text uses.
	lineBreak string
}

func newEditor(text []byte) *editor {
	e := &editor{lines: strings.SplitAfter(string(text), "\n"), lineBreak: "\n"}
	if strings.HasSuffix(e.lines[0], "\r\n") {
		e.lineBreak = "\r\n"
	}
	return e
}

// finish returns the edited text after checking that it decodes to the intended
// document. An edit of a layout that the editor does not support fails here instead of
// damaging the document.
func (e *editor) finish(intended *proxy.Document) ([]byte, error) {
	text := []byte(strings.Join(e.lines, ""))
	document, err := Decode(text)
	if err != nil || !reflect.DeepEqual(document, intended) {
		return nil, eris.New("an account in this layout cannot be edited: want one line for each key and value")
	}
	return text, nil
}

func (e *editor) addKey(account *ast.MappingNode, id proxy.KeyID, verifier string) {
	flowEntry := "{id: " + string(id) + ", verifier: " + strconv.Quote(verifier) + "}"
	keys := mappingEntry(account, "keys")
	if keys == nil && account.IsFlowStyle {
		e.insertBefore(account.End, ", keys: ["+flowEntry+"]")
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
		e.insertBefore(list.End, ", "+flowEntry)
	case account.IsFlowStyle:
		e.insertBefore(list.End, flowEntry)
	default:
		line := list.Start.Position.Line
		e.removeEmptyList(list)
		e.insertLines(line, indent, keyLines("  ", id, verifier))
	}
}

func keyLines(indent string, id proxy.KeyID, verifier string) []string {
	return []string{indent + "- id: " + string(id), indent + "  verifier: " + verifier}
}

func (e *editor) setWithdrawn(key *ast.MappingNode) {
	withdrawn := mappingEntry(key, "withdrawn")
	switch {
	case withdrawn != nil:
		t := withdrawn.Value.GetToken()
		start := e.offset(t)
		line := &e.lines[t.Position.Line-1]
		*line = (*line)[:start] + "true" + strings.TrimPrefix((*line)[start:], t.Value)
	case key.IsFlowStyle:
		e.insertBefore(key.End, ", withdrawn: true")
	default:
		e.insertLines(lastLine(key), positionOf(key).column-1, []string{"withdrawn: true"})
	}
}

// lastLine returns the number of a node's last line, counted from one. Comments after
// the node do not count.
func lastLine(node ast.Node) int {
	visitor := &lastLineVisitor{}
	ast.Walk(visitor, node)
	return visitor.line
}

type lastLineVisitor struct{ line int }

// Visit implements ast.Visitor.
func (v *lastLineVisitor) Visit(node ast.Node) ast.Visitor {
	if _, comment := node.(*ast.CommentGroupNode); comment {
		return nil
	}
	if t := node.GetToken(); t != nil {
		v.line = max(v.line, t.Position.Line)
	}
	if sequence, ok := node.(*ast.SequenceNode); ok && sequence.End != nil {
		v.line = max(v.line, sequence.End.Position.Line)
	}
	if mapping, ok := node.(*ast.MappingNode); ok && mapping.End != nil {
		v.line = max(v.line, mapping.End.Position.Line)
	}
	return v
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

// insertBefore inserts text before a closing bracket.
func (e *editor) insertBefore(before *token.Token, text string) {
	start := e.offset(before)
	line := &e.lines[before.Position.Line-1]
	*line = (*line)[:start] + text + (*line)[start:]
}

// insertLines inserts lines after the line with number after, counted from one.
func (e *editor) insertLines(after, indent int, lines []string) {
	if previous := &e.lines[after-1]; !strings.HasSuffix(*previous, "\n") {
		*previous += e.lineBreak
	}
	var indented []string
	for _, line := range lines {
		indented = append(indented, strings.Repeat(" ", indent)+line+e.lineBreak)
	}
	e.lines = slices.Insert(e.lines, after, indented...)
}

// removeEmptyList removes a list written as [] and the spaces before it. A list whose
// brackets are on different lines stays, and finish reports the error.
func (e *editor) removeEmptyList(list *ast.SequenceNode) {
	start, end := e.offset(list.Start), e.offset(list.End)
	line := &e.lines[list.Start.Position.Line-1]
	if list.Start.Position.Line == list.End.Position.Line {
		*line = strings.TrimRight((*line)[:start], " ") + (*line)[end+1:]
	}
}
