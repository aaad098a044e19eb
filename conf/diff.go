package conf

import (
	"cmp"
	"fmt"
	"reflect"

	"waxwing.example/croft"
)

// Change is one difference between two configurations.
type Change struct {
	// Section is Pool, Service, Kind or Team.
	Section string
	ID      string
	// Field is the field that differs, empty where the section is new or gone.
	Field string
	Old   string
	New   string
}

// String returns the change as one line.
func (c Change) String() string {
	switch {
	case c.Field != "":
		return fmt.Sprintf("%s %s: %s %s -> %s", c.Section, c.ID, c.Field, c.Old, c.New)
	case c.Old == "":
		return fmt.Sprintf("%s %s: added %s", c.Section, c.ID, c.New)
	}
	return fmt.Sprintf("%s %s: removed %s", c.Section, c.ID, c.Old)
}

// Diff returns what differs, in the order pools, services with their kinds, teams.
func Diff(before, after croft.Config) []Change {
	before, after = Normalize(before), Normalize(after)
	changes := sections("Pool", before.Pools, after.Pools, poolID, "")
	changes = append(changes, sections("Service", before.Services, after.Services, serviceID, "")...)
	for _, s := range after.Services {
		old, _ := before.Service(s.ID)
		changes = append(changes, sections("Kind", old.Kinds, s.Kinds, kindID, string(s.ID)+"/")...)
	}
	return append(changes, sections("Team", before.Teams, after.Teams, teamID, "")...)
}

func kindID(k croft.Kind) croft.KindID { return k.ID }

func sections[T any, K cmp.Ordered](name string, before, after []T, id func(T) K, above string) []Change {
	var changes []Change
	old := map[K]T{}
	for _, s := range before {
		old[id(s)] = s
	}
	for _, s := range after {
		path := above + fmt.Sprint(id(s))
		was, found := old[id(s)]
		delete(old, id(s))
		if !found {
			changes = append(changes, Change{Section: name, ID: path, New: fmt.Sprintf("%+v", s)})
			continue
		}
		changes = append(changes, fields(name, path, was, s)...)
	}
	for _, s := range before {
		if was, gone := old[id(s)]; gone {
			changes = append(changes, Change{Section: name, ID: above + fmt.Sprint(id(s)), Old: fmt.Sprintf("%+v", was)})
		}
	}
	return changes
}

func fields[T any](name, path string, before, after T) []Change {
	var changes []Change
	old, now := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range old.NumField() {
		field := old.Type().Field(i).Name
		if field == "Kinds" {
			continue
		}
		was, is := fmt.Sprintf("%+v", old.Field(i)), fmt.Sprintf("%+v", now.Field(i))
		if was != is {
			changes = append(changes, Change{Section: name, ID: path, Field: field, Old: was, New: is})
		}
	}
	return changes
}
