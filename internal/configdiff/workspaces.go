package configdiff

import (
	"fmt"
	"slices"

	"github.com/ebonywood/ebonywood"
)

// credentials are the keys or users of a workspace in both sets.
type credentials struct {
	singular, plural         string
	added, removed, moved    int
	movedTo                  []string
	namesAdded, namesRemoved []string
}

// compareCredentials compares the keys or users of a workspace. ownerAfter returns the workspace
// to which one belongs in the new set, empty if none. A nil name hides them.
func compareCredentials[T comparable](
	singular, plural string, before, after []T, ownerAfter func(T) string, name func(T) string,
) credentials {
	result := credentials{singular: singular, plural: plural}
	for _, credential := range before {
		if slices.Contains(after, credential) {
			continue
		}
		if owner := ownerAfter(credential); owner != "" {
			result.moved++
			result.movedTo = append(result.movedTo, owner)
		} else {
			result.removed++
		}
		if name != nil {
			result.namesRemoved = append(result.namesRemoved, name(credential))
		}
	}
	for _, credential := range after {
		if !slices.Contains(before, credential) {
			result.added++
			if name != nil {
				result.namesAdded = append(result.namesAdded, name(credential))
			}
		}
	}
	result.movedTo = sortedUnique(result.movedTo)
	return result
}

// count returns a number with the noun.
func (credentials credentials) count(number int) string {
	if number == 1 {
		return "1 " + credentials.singular
	}
	return fmt.Sprintf("%d %s", number, credentials.plural)
}

// details returns what differs. Users are named, keys are not.
func (credentials credentials) details() (list []string) {
	for _, entry := range []struct {
		number int
		verb   string
		names  []string
	}{
		{credentials.added, "added", credentials.namesAdded},
		{credentials.removed + credentials.moved, "removed", credentials.namesRemoved},
	} {
		if entry.number == 0 {
			continue
		}
		text := credentials.count(entry.number) + " " + entry.verb
		if len(entry.names) > 0 {
			text += fmt.Sprintf(" %q", entry.names)
		}
		list = append(list, text)
	}
	return list
}

// effects returns what happens to the sessions of removed and moved keys or users.
func (credentials credentials) effects(required bool) (list []string) {
	if credentials.removed > 0 && required {
		list = append(list, fmt.Sprintf("sessions of %s end, except on public routes", credentials.count(credentials.removed)))
	}
	if credentials.moved > 0 {
		list = append(list, fmt.Sprintf("sessions of %s belong to %q from their next operation on", credentials.count(credentials.moved), credentials.movedTo))
	}
	return list
}

func (comparison *comparison) compareWorkspaces() {
	for _, before := range comparison.before.Workspaces() {
		after, found := comparison.after.Workspace(before.Name())
		if !found {
			comparison.compareWorkspace(KindRemoved, before, ebonywood.NewWorkspace(before.Name(), nil, nil, before.Priority()).WithRate(before.Rate(), before.Burst()))
			continue
		}
		comparison.compareWorkspace(KindChanged, before, after)
	}
	for _, after := range comparison.after.Workspaces() {
		if _, found := comparison.before.Workspace(after.Name()); !found {
			comparison.compareWorkspace(KindAdded, ebonywood.NewWorkspace(after.Name(), nil, nil, 0), after)
		}
	}
}

// compareWorkspace adds a workspace if it differs, or was added or removed.
func (comparison *comparison) compareWorkspace(kind Kind, before, after *ebonywood.Workspace) {
	var list details
	field(&list, "priority", before.Priority(), after.Priority())
	field(&list, "rate (per s)", before.Rate(), after.Rate())
	field(&list, "burst", before.Burst(), after.Burst())
	keys := compareCredentials("key", "keys", before.Keys(), after.Keys(), func(key ebonywood.KeyDigest) string {
		return nameOf(comparison.after.WorkspaceByKey(key))
	}, nil)
	users := compareCredentials("user", "users", before.Users(), after.Users(), func(user string) string {
		return nameOf(comparison.after.WorkspaceByUser(user))
	}, func(user string) string { return user })
	var effects []string
	for _, credentials := range []credentials{keys, users} {
		list = append(list, credentials.details()...)
		effects = append(effects, credentials.effects(comparison.after.RequiresWorkspace())...)
		comparison.result.workspaces = append(comparison.result.workspaces, credentials.movedTo...)
	}
	if kind == KindChanged && len(list) == 0 {
		return
	}
	if kind == KindChanged && (before.Rate() != after.Rate() || before.Burst() != after.Burst()) {
		effects = append(effects, "the limit of its operations changes")
	}
	comparison.result.workspaces = append(comparison.result.workspaces, after.Name())
	comparison.add(kind, "workspace/"+after.Name(), list, effects)
}

// nameOf returns the name of a workspace, empty if there is none.
func nameOf(workspace *ebonywood.Workspace, found bool) string {
	if !found {
		return ""
	}
	return workspace.Name()
}
