package environment

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// position is a place in the text. Lines and columns count from one.
type position struct{ line, column int }

// positionOf returns where a node starts. A block mapping starts at its first key,
// although the parser's token for it is the colon after that key.
func positionOf(node ast.Node) position {
	token := node.GetToken()
	if mapping, ok := node.(*ast.MappingNode); ok && len(mapping.Values) > 0 && !mapping.IsFlowStyle {
		token = mapping.Values[0].Key.GetToken()
	}
	if token == nil || token.Position == nil {
		return position{line: 1, column: 1}
	}
	return position{line: token.Position.Line, column: token.Position.Column}
}

// defaulter is implemented by types that have default values for keys that are
// missing in the document.
type defaulter interface{ Default() }

// reader fills Go values from a syntax tree and collects all problems, whereas the
// YAML library's own decoder stops at the first one.
type reader struct {
	problems Problems
	// positions maps the path of each value to its place in the text.
	positions map[string]position
	// failed contains the paths of values that could not be read.
	failed map[string]bool
}

func (r *reader) fail(path string, node ast.Node, value, format string, args ...any) {
	pos := positionOf(node)
	r.failed[path] = true
	r.problems = append(r.problems, Problem{
		Line: pos.line, Column: pos.column, Path: path, Value: value, Want: fmt.Sprintf(format, args...),
	})
}

// read fills target, a pointer to a struct, slice or scalar, from node.
func (r *reader) read(path string, node ast.Node, target any) {
	if value, ok := target.(defaulter); ok {
		value.Default()
	}
	r.positions[path] = positionOf(node)
	value := reflect.ValueOf(target).Elem()
	if duration, ok := target.(*time.Duration); ok {
		r.duration(path, node, duration)
		return
	}
	switch value.Kind() {
	case reflect.Struct:
		r.mapping(path, node, value)
	case reflect.Slice:
		r.sequence(path, node, value)
	default:
		r.scalar(path, node, value)
	}
}

// yamlFields returns the struct's field indices by yaml name, and the names in the
// order of the fields.
func yamlFields(target reflect.Value) (map[string]int, []string) {
	index := map[string]int{}
	var names []string
	for i := range target.NumField() {
		name, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("yaml"), ",")
		index[name] = i
		names = append(names, name)
	}
	return index, names
}

func (r *reader) mapping(path string, node ast.Node, target reflect.Value) {
	mapping, ok := node.(*ast.MappingNode)
	if !ok {
		r.fail(path, node, describeNode(path, node), "a mapping")
		return
	}
	index, names := yamlFields(target)
	seen := map[string]bool{}
	for _, entry := range mapping.Values {
		name, isPlain := entry.Key.(*ast.StringNode)
		if !isPlain {
			r.fail(joinPath(path, "?"), entry.Key, "a key that is not a plain name", "one of %s", strings.Join(names, ", "))
			continue
		}
		entryPath := joinPath(path, name.Value)
		field, known := index[name.Value]
		if !known {
			r.fail(joinPath(path, "?"), entry.Key, "unknown key "+proxy.QuoteRedacted(name.Value), "one of %s", strings.Join(names, ", "))
			continue
		}
		if seen[name.Value] {
			r.fail(entryPath, entry.Key, "a second key "+proxy.QuoteRedacted(name.Value), "each key once")
			continue
		}
		seen[name.Value] = true
		r.read(entryPath, entry.Value, target.Field(field).Addr().Interface())
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (r *reader) sequence(path string, node ast.Node, target reflect.Value) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		r.fail(path, node, describeNode(path, node), "a list")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values)))
	for i, value := range sequence.Values {
		r.read(fmt.Sprintf("%s[%d]", path, i), value, target.Index(i).Addr().Interface())
	}
}

func (r *reader) scalar(path string, node ast.Node, target reflect.Value) {
	switch target.Kind() {
	case reflect.String:
		switch text := node.(type) {
		case *ast.StringNode:
			target.SetString(text.Value)
			return
		case *ast.LiteralNode:
			target.SetString(text.Value.Value)
			return
		}
		r.fail(path, node, describeNode(path, node), "text")
	case reflect.Bool:
		if flag, ok := node.(*ast.BoolNode); ok {
			target.SetBool(flag.Value)
			return
		}
		r.fail(path, node, describeNode(path, node), "true or false")
	case reflect.Int:
		if number, ok := node.(*ast.IntegerNode); ok {
			if value, err := strconv.ParseInt(number.Token.Value, 10, 32); err == nil {
				target.SetInt(value)
				return
			}
		}
		r.fail(path, node, describeNode(path, node), "a whole decimal number")
	case reflect.Float64:
		if value, ok := parseDecimal(node); ok {
			target.SetFloat(value)
			return
		}
		r.fail(path, node, describeNode(path, node), "a decimal number")
	default:
		panic("cannot decode YAML into a value of type " + target.Type().String())
	}
}

func parseDecimal(node ast.Node) (float64, bool) {
	switch node.(type) {
	case *ast.IntegerNode, *ast.FloatNode:
		value, err := strconv.ParseFloat(node.GetToken().Value, 64)
		return value, err == nil && !math.IsInf(value, 0) && !math.IsNaN(value)
	}
	return 0, false
}

func (r *reader) duration(path string, node ast.Node, target *time.Duration) {
	switch node.(type) {
	case *ast.StringNode, *ast.IntegerNode:
		value, err := time.ParseDuration(node.GetToken().Value)
		if err == nil {
			*target = value
			return
		}
	}
	r.fail(path, node, describeNode(path, node), "a duration with a unit, such as 250ms, 5s or 2m")
}

// describeNode describes a node for an error message. It omits content that is, or
// may be, secret.
func describeNode(path string, node ast.Node) string {
	if strings.HasSuffix(path, ".verifier") {
		return "(not shown)"
	}
	switch node := node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.AliasNode, *ast.AnchorNode:
		return "an anchor or alias"
	case *ast.TagNode:
		return "a tag"
	case *ast.NullNode:
		return "no value"
	case *ast.StringNode:
		return proxy.QuoteRedacted(node.Value)
	}
	if token := node.GetToken(); token != nil {
		return proxy.QuoteRedacted(token.Value)
	}
	return node.Type().String()
}
