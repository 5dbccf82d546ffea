package directory

import (
	"context"
	"strings"
	"time"

	"github.com/ebonywood/ebonywood"
)

// This file keeps what members wrote and the directory has lost, because it was unavailable or has
// was restored from a backup, until they have had the time to write it again.

const (
	// expiredRetention is how long entries that expired while the directory was
	// unavailable, or were lost with it, are retained after its recovery; their owners
	// write them again in that time.
	expiredRetention = 2300 * time.Millisecond
	// expiredWatchWait is how long a watch waits for changes while entries are
	// retained. It is short, so that they are purged in time.
	expiredWatchWait ebonywood.Millis = 400
)

// enterEra records the era that the items to be applied are of. The control loop learns before
// the items that the directory was restored from a backup since the last ones.
func (mirror *mirror) enterEra(ctx context.Context, era ebonywood.Era) {
	restored := mirror.era > 0 && era > mirror.era
	mirror.era = max(mirror.era, era)
	if !restored {
		return
	}
	mirror.restoring = true
	mirror.edge.port.Log().Info("directory restored", "era", int64(era))
	mirror.edge.noteRestore()
	_ = mirror.edge.port.Post(ctx, ebonywood.DirectoryRestored{})
}

// endRestore reports whether the time in which lost keys are written again has just ended. The
// handlers of the proxies' keys then have to take them as they are.
func (mirror *mirror) endRestore() bool {
	if !mirror.restoring || mirror.edge.wasJustRestored() {
		return false
	}
	mirror.restoring = false
	return true
}

// retainMembers puts mirrored entries of members into the listed items where the directory may
// have lost what the member wrote: entries that are missing, and, if the directory was just
// restored from a backup, those of leaving members whose listed entry is of the time before.
func (mirror *mirror) retainMembers(items map[string]ebonywood.Item) {
	clear(mirror.retained)
	restored := mirror.edge.wasJustRestored()
	for key, held := range mirror.items {
		listed, found := items[key]
		switch {
		case !found && mirror.shouldRetain(held):
			listed = ebonywood.NewDeletedItem(key, held.Revision())
		case found && restored && mirror.isLeaving(held) && !mirror.isLeaving(listed):
		default:
			continue
		}
		items[key], mirror.retained[key] = held, listed
	}
}

// isLeaving reports whether an item is the entry of a leaving member.
func (mirror *mirror) isLeaving(item ebonywood.Item) bool {
	if !strings.HasPrefix(item.Key(), mirror.edge.port.Directory().MemberPrefix()) {
		return false
	}
	entry, err := decodeItem(mirror.edge.port.Directory().DecodeMember, item)
	return err == nil && entry.Member().IsLeaving()
}

// shouldRetain reports whether a deleted entry may have expired only because its member
// could not renew it while the directory was unavailable. That holds for members that
// were not leaving, for expiredRetention after the recovery.
func (mirror *mirror) shouldRetain(item ebonywood.Item) bool {
	if !strings.HasPrefix(item.Key(), mirror.edge.port.Directory().MemberPrefix()) || mirror.edge.timeSinceRecovery() > expiredRetention {
		return false
	}
	entry, err := decodeItem(mirror.edge.port.Directory().DecodeMember, item)
	return err == nil && !entry.Member().IsLeaving()
}

// purgeRetained replaces the retained entries that were not written again within
// expiredRetention by what the directory holds, and reports whether there were any.
func (mirror *mirror) purgeRetained() (changed bool) {
	if len(mirror.retained) == 0 || mirror.edge.timeSinceRecovery() <= expiredRetention {
		return false
	}
	for key, listed := range mirror.retained {
		if listed.IsDeleted() {
			delete(mirror.items, key)
		} else {
			mirror.items[key] = listed
		}
	}
	clear(mirror.retained)
	return true
}
