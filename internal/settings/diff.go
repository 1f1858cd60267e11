package settings

import "reflect"

// reloaded are the keys whose values a running node takes from its file again.
var reloaded = map[string]bool{"operator": true, "log.level": true}

// NeedRestart returns the keys that differ between the running settings and
// those read again, and that take effect only when the node starts.
func NeedRestart(running, read Node) []string {
	return differing("", reflect.ValueOf(running), reflect.ValueOf(read))
}

func differing(prefix string, a, b reflect.Value) []string {
	var out []string
	for i := range a.NumField() {
		field := a.Type().Field(i)
		key := prefix + field.Tag.Get("toml")
		x, y := a.Field(i), b.Field(i)
		switch {
		case reloaded[key] || reflect.DeepEqual(x.Interface(), y.Interface()):
		case isTable(field):
			out = append(out, differing(key+".", x, y)...)
		default:
			out = append(out, key)
		}
	}
	return out
}

// isTable reports whether the field is a table of the file: a struct of this
// package, and not a value such as a duration.
func isTable(f reflect.StructField) bool {
	return f.Type.Kind() == reflect.Struct && f.Type.PkgPath() == reflect.TypeFor[Node]().PkgPath()
}
