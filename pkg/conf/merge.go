package conf

import (
	"reflect"
	"slices"
	"sort"
	"strings"
)

// Keys of the object lists in a file.
const (
	keyCentres   = "DataCentres"
	keyServices  = "Services"
	keyServers   = "BackendServers"
	keyBalancers = "Balancers"
)

// namedObject is an object that configuration files declare under a name.
type namedObject interface {
	objectName() string
	isRemoved() bool
}

func (s Service) objectName() string       { return s.Name }
func (s Service) isRemoved() bool          { return s.Removed }
func (d DataCentre) objectName() string    { return d.Name }
func (d DataCentre) isRemoved() bool       { return d.Removed }
func (b BackendServer) objectName() string { return b.Name }
func (b BackendServer) isRemoved() bool    { return b.Removed }
func (b Balancer) objectName() string      { return b.Name }
func (b Balancer) isRemoved() bool         { return b.Removed }

// contribution is what one file declares of an object.
type contribution[T namedObject] struct {
	doc   *document
	entry *entry[T]
}

// mergedObject is an object with the contributions it was merged from, in the
// order of the file names.
type mergedObject[T namedObject] struct {
	value         *T // points into the entry if there is only one contribution
	contributions []contribution[T]
}

// table holds the merged objects of one kind by name, including those that are
// declared as removed.
type table[T namedObject] struct {
	listKey string
	objects map[string]mergedObject[T]
}

// tables holds the merged objects of all kinds.
type tables struct {
	centres   table[DataCentre]
	services  table[Service]
	servers   table[BackendServer]
	balancers table[Balancer]
}

// find returns an object by name, unless it is declared as removed.
func (t table[T]) find(name string) (T, bool) {
	obj, ok := t.objects[name]
	if !ok || (*obj.value).isRemoved() {
		var zero T
		return zero, false
	}
	return *obj.value, true
}

// replaceContributions replaces the contributions of one document by those of another;
// either may be nil. It returns the names of the objects that it merged again.
func (t table[T]) replaceContributions(previous, next *document, entriesOf func(*document) []entry[T]) []string {
	changed := make(map[string]bool)
	if previous != nil {
		for _, e := range entriesOf(previous) {
			changed[e.value.objectName()] = true
			t.removeContribution(e.value.objectName(), previous)
		}
	}
	if next != nil {
		entries := entriesOf(next)
		for i := range entries {
			changed[entries[i].value.objectName()] = true
			t.insertContribution(entries[i].value.objectName(), contribution[T]{next, &entries[i]})
		}
	}
	names := make([]string, 0, len(changed))
	for name := range changed {
		t.merge(name)
		names = append(names, name)
	}
	return names
}

// removeContribution removes a document's contribution to an object. The caller merges
// the object again.
func (t table[T]) removeContribution(name string, doc *document) {
	obj := t.objects[name]
	obj.contributions = slices.DeleteFunc(slices.Clone(obj.contributions), func(c contribution[T]) bool { return c.doc == doc })
	t.objects[name] = obj
}

// insertContribution adds a contribution to an object in the order of the file names.
// The caller merges the object again.
func (t table[T]) insertContribution(name string, c contribution[T]) {
	obj := t.objects[name]
	at := sort.Search(len(obj.contributions), func(i int) bool { return obj.contributions[i].doc.name >= c.doc.name })
	obj.contributions = slices.Insert(slices.Clone(obj.contributions), at, c)
	t.objects[name] = obj
}

// merge computes an object from its contributions. Later files override the fields
// of earlier ones.
func (t table[T]) merge(name string) {
	obj := t.objects[name]
	switch len(obj.contributions) {
	case 0:
		delete(t.objects, name)
		return
	case 1:
		obj.value = &obj.contributions[0].entry.value
	default:
		obj.value = new(T)
		target := reflect.ValueOf(obj.value).Elem()
		for _, c := range obj.contributions {
			source := reflect.ValueOf(&c.entry.value).Elem()
			for _, f := range c.entry.fields {
				target.Field(int(f.fieldIndex)).Set(source.Field(int(f.fieldIndex)))
			}
		}
	}
	t.objects[name] = obj
}

// position is the position of a field or object in a file.
type position struct {
	doc    *document
	offset int    // byte offset
	path   string // for example "Services[0].Port"
}

// positionOf returns the position of a field's effective value. If no file sets the
// field, or key is empty, it returns the position of the object in the first file that
// declares it.
func (t table[T]) positionOf(name, key string) position {
	obj := t.objects[name]
	field, _ := reflect.TypeFor[T]().FieldByName(key)
	for _, c := range slices.Backward(obj.contributions) {
		for _, f := range c.entry.fields {
			if key != "" && int(f.fieldIndex) == field.Index[0] {
				return position{c.doc, int(f.offset), entryPath(t.listKey, int(c.entry.listIndex)) + "." + key}
			}
		}
	}
	first := obj.contributions[0]
	return position{first.doc, int(first.entry.offset), entryPath(t.listKey, int(first.entry.listIndex))}
}

// values lists the fields that files set, with their origins.
func (t table[T]) values() []Value {
	names := make([]string, 0, len(t.objects))
	for name := range t.objects {
		names = append(names, name)
	}
	sort.Strings(names)
	var out []Value
	for _, name := range names {
		item := reflect.ValueOf(*t.objects[name].value)
		for i := range item.NumField() {
			key := item.Type().Field(i).Name
			pos := t.positionOf(name, key)
			if key == "Name" || !strings.HasSuffix(pos.path, "."+key) {
				continue
			}
			origin := Origin{pos.doc.name, pos.doc.owner, pos.doc.newFinding(Warning, pos.offset, "", "").Line}
			out = append(out, Value{t.listKey + "." + name + "." + key, item.Field(i).Interface(), origin})
		}
	}
	return out
}

// updateList returns a copy of a list, sorted by name, in which the named objects are
// up to date. If they are more than an eighth of the list, it is rebuilt.
func updateList[T namedObject](list []T, t table[T], names []string) []T {
	if len(names) == 0 {
		return list
	}
	if len(names)*8 > len(list) {
		return listObjects(t)
	}
	out := slices.Clone(list)
	for _, name := range names {
		at, found := slices.BinarySearchFunc(out, name, func(item T, name string) int { return strings.Compare(item.objectName(), name) })
		value, ok := t.find(name)
		switch {
		case ok && found:
			out[at] = value
		case ok:
			out = slices.Insert(out, at, value)
		case found:
			out = slices.Delete(out, at, at+1)
		}
	}
	return out
}

// listObjects lists the objects that are not removed, sorted by name.
func listObjects[T namedObject](t table[T]) []T {
	out := make([]T, 0, len(t.objects))
	for _, obj := range t.objects {
		if !(*obj.value).isRemoved() {
			out = append(out, *obj.value)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].objectName() < out[j].objectName() })
	return out
}
