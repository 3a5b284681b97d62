package document

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"comfreyrelay.example/relay/schema"
	"comfreyrelay.example/relay/wire"
)

// itemKeys are the fields that identify the items of a list.
var itemKeys = []protoreflect.Name{"name", "failure_domain"}

const keyHashesField = "key_hashes"

// Diff returns the changes from a to b, sorted by path. Either may be nil. List
// items are matched by name and scalar list elements by value. Key hashes are
// shortened.
func Diff(a, b *wire.Document) []*wire.Change {
	d := &differ{}
	d.diffMessages("", Canonical(orEmpty(a)).ProtoReflect(), Canonical(orEmpty(b)).ProtoReflect())
	slices.SortStableFunc(d.changes, func(x, y *wire.Change) int { return cmp.Compare(x.GetPath(), y.GetPath()) })
	return d.changes
}

func orEmpty(doc *wire.Document) *wire.Document {
	if doc == nil {
		return &wire.Document{}
	}
	return doc
}

// differ collects the changes between two documents.
type differ struct {
	changes []*wire.Change
}

func (d *differ) add(path, before, after string) {
	d.changes = append(d.changes, &wire.Change{Path: path, Before: before, After: after})
}

func (d *differ) diffMessages(path string, a, b protoreflect.Message) {
	fields := a.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		fieldPath := path + schema.Pointer(field.JSONName())
		switch {
		case field.IsList() && field.Message() != nil:
			d.diffItems(fieldPath, a.Get(field).List(), b.Get(field).List())
		case field.IsList():
			d.diffValues(fieldPath, field, a.Get(field).List(), b.Get(field).List())
		case field.Message() != nil && !isDuration(field):
			d.diffMessages(fieldPath, a.Get(field).Message(), b.Get(field).Message())
		default:
			d.diffField(fieldPath, field, a, b)
		}
	}
}

func isDuration(field protoreflect.FieldDescriptor) bool {
	return field.Message().FullName() == "google.protobuf.Duration"
}

func (d *differ) diffField(path string, field protoreflect.FieldDescriptor, a, b protoreflect.Message) {
	if !a.Has(field) && !b.Has(field) || a.Get(field).Equal(b.Get(field)) && a.Has(field) == b.Has(field) {
		return
	}
	d.add(path, fieldText(a, field), fieldText(b, field))
}

// fieldText returns a field's value as JSON text, or "" if it is not set.
func fieldText(holder protoreflect.Message, field protoreflect.FieldDescriptor) string {
	if !holder.Has(field) {
		return ""
	}
	if field.Message() != nil {
		return messageText(holder.Get(field).Message().Interface())
	}
	return valueText(holder.Get(field).Interface())
}

func (d *differ) diffItems(path string, a, b protoreflect.List) {
	before, after := byKey(a), byKey(b)
	for key, item := range before {
		other, kept := after[key]
		if !kept {
			d.add(path+schema.Pointer(key), itemText(item), "")
			continue
		}
		d.diffMessages(path+schema.Pointer(key), item, other)
	}
	for key, item := range after {
		if _, kept := before[key]; !kept {
			d.add(path+schema.Pointer(key), "", itemText(item))
		}
	}
}

func byKey(list protoreflect.List) map[string]protoreflect.Message {
	items := map[string]protoreflect.Message{}
	for i := range list.Len() {
		item := list.Get(i).Message()
		items[keyOf(item)] = item
	}
	return items
}

func keyOf(item protoreflect.Message) string {
	for _, name := range itemKeys {
		if field := item.Descriptor().Fields().ByName(name); field != nil {
			return item.Get(field).String()
		}
	}
	return ""
}

func (d *differ) diffValues(path string, field protoreflect.FieldDescriptor, a, b protoreflect.List) {
	before, after := listTexts(a), listTexts(b)
	display := func(text string) string {
		if field.Name() == keyHashesField {
			return shortHash(text)
		}
		return text
	}
	for _, text := range before {
		if !slices.Contains(after, text) {
			d.add(path+schema.Pointer(display(text)), valueText(display(text)), "")
		}
	}
	for _, text := range after {
		if !slices.Contains(before, text) {
			d.add(path+schema.Pointer(display(text)), "", valueText(display(text)))
		}
	}
}

func listTexts(list protoreflect.List) []string {
	values := make([]string, list.Len())
	for i := range values {
		values[i] = list.Get(i).String()
	}
	return values
}

// itemText returns a list item as JSON text with its key hashes shortened.
func itemText(item protoreflect.Message) string {
	redacted := proto.Clone(item.Interface()).ProtoReflect()
	if field := redacted.Descriptor().Fields().ByName(keyHashesField); field != nil {
		hashes := redacted.Mutable(field).List()
		for i := range hashes.Len() {
			hashes.Set(i, protoreflect.ValueOfString(shortHash(hashes.Get(i).String())))
		}
	}
	return messageText(redacted.Interface())
}

func messageText(msg proto.Message) string {
	text, err := protojson.Marshal(msg)
	if err != nil {
		return ""
	}
	var out bytes.Buffer
	if err := json.Compact(&out, text); err != nil {
		return ""
	}
	return out.String()
}

func valueText(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		return ""
	}
	return string(text)
}
