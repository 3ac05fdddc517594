// Package conf reads TOML files into schema messages and reports all problems of a file at once.
package conf

import (
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/BurntSushi/toml"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Problem is an error in a settings file or template.
type Problem struct {
	File   string
	Key    string
	Reason string
}

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: %s", p.File, p.Key, p.Reason)
}

// Problems is an error that lists all problems of a file.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Add appends a problem.
func (p *Problems) Add(file, key, format string, args ...any) {
	*p = append(*p, Problem{File: file, Key: key, Reason: fmt.Sprintf(format, args...)})
}

// ReadFile reads a TOML file into a message.
func ReadFile(file string, message proto.Message) Problems {
	text, err := os.ReadFile(file)
	if err != nil {
		return Problems{{File: file, Key: "(file)", Reason: err.Error()}}
	}
	return Read(file, string(text), message)
}

// Read fills a message from TOML text whose keys are the names of the message's fields. File is used in problems only.
func Read(file, text string, message proto.Message) Problems {
	var table map[string]any
	if _, err := toml.Decode(text, &table); err != nil {
		return Problems{{File: file, Key: "(syntax)", Reason: err.Error()}}
	}
	r := reader{file: file}
	r.readMessage("", table, message.ProtoReflect())
	sort.Slice(r.problems, func(i, j int) bool { return r.problems[i].Key < r.problems[j].Key })
	return r.problems
}

// reader fills messages from one file and collects the problems.
type reader struct {
	file     string
	problems Problems
}

// readMessage sets the fields of m from a table; prefix is the table's key with a trailing dot.
func (r *reader) readMessage(prefix string, table map[string]any, m protoreflect.Message) {
	fields := m.Descriptor().Fields()
	for key, value := range table {
		path := prefix + key
		field := fields.ByName(protoreflect.Name(key))
		if field == nil {
			r.problems.Add(r.file, path, "unknown key; known keys: %s", fieldNames(fields))
			continue
		}
		r.readField(path, value, m, field)
	}
}

// readField sets one field of m; path is its full key.
func (r *reader) readField(path string, value any, m protoreflect.Message, field protoreflect.FieldDescriptor) {
	if field.IsList() {
		r.readList(path, value, m, field)
		return
	}
	if field.Message() != nil {
		table, ok := value.(map[string]any)
		if !ok {
			r.problems.Add(r.file, path, "is %T, must be a table", value)
			return
		}
		r.readMessage(path+".", table, m.Mutable(field).Message())
		return
	}
	if v, ok := r.readScalar(path, value, field); ok {
		m.Set(field, v)
	}
}

// readList fills a repeated field from an array of tables.
func (r *reader) readList(path string, value any, m protoreflect.Message, field protoreflect.FieldDescriptor) {
	tables, ok := value.([]map[string]any)
	if !ok {
		r.problems.Add(r.file, path, "must be an array of tables, written as [[%s]]", path)
		return
	}
	list := m.Mutable(field).List()
	for n, table := range tables {
		r.readMessage(fmt.Sprintf("%s[%d].", path, n), table, list.AppendMutable().Message())
	}
}

// readScalar converts a value to the type of a field.
func (r *reader) readScalar(path string, value any, field protoreflect.FieldDescriptor) (v protoreflect.Value, ok bool) {
	switch field.Kind() {
	case protoreflect.StringKind:
		if s, is := value.(string); is {
			return protoreflect.ValueOfString(s), true
		}
		r.problems.Add(r.file, path, "is %v, must be a string in quotes", value)
	case protoreflect.BoolKind:
		if b, is := value.(bool); is {
			return protoreflect.ValueOfBool(b), true
		}
		r.problems.Add(r.file, path, "is %v, must be true or false", value)
	default:
		if n, is := value.(int64); is {
			return protoreflect.ValueOfInt64(n), true
		}
		r.problems.Add(r.file, path, "is %v, must be a whole number%s", value, unitPhrase(path, " of %s without a unit"))
	}
	return v, false
}

// unitPhrase formats phrase with the unit that a key's suffix stands for. It returns an empty string for other keys.
func unitPhrase(path, phrase string) string {
	units := map[string]string{
		"Ms": "milliseconds", "Minutes": "minutes", "Percent": "percent",
		"Mb": "megabytes", "Bytes": "bytes", "PerSecond": "events per second",
	}
	for suffix, name := range units {
		if strings.HasSuffix(path, suffix) {
			return fmt.Sprintf(phrase, name)
		}
	}
	return ""
}

func fieldNames(fields protoreflect.FieldDescriptors) string {
	all := make([]string, 0, fields.Len())
	for n := range fields.Len() {
		all = append(all, string(fields.Get(n).Name()))
	}
	return strings.Join(all, ", ")
}
