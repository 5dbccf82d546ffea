package directory

import (
	"context"
	"time"

	"github.com/ebonywood/ebonywood"
)

// This file keeps the newest valid configuration in the mirror. The directory may hold an
// older version, or one that is invalid, with a later revision. Such an item must not replace
// the newer version here: other proxies take it from this mirror when they start, and a key
// that was withdrawn would be valid again there.

// configurationCopy is the newest valid configuration that this process received, from any
// source. The zero value is before the first.
type configurationCopy struct {
	item ebonywood.Item
	set  *ebonywood.ObjectSet
	// lastRevision is the revision of the item that was examined last.
	lastRevision ebonywood.Revision
	// lastFailed is set if that item was invalid.
	lastFailed bool
}

// examineConfiguration keeps a configuration if it is valid and not older than the kept one.
func (mirror *mirror) examineConfiguration(item ebonywood.Item) {
	kept := &mirror.configuration
	if item.Revision() == kept.lastRevision || kept.set != nil && item.Revision() == kept.item.Revision() {
		return
	}
	log := mirror.edge.port.Log()
	set, err := decodeItem(mirror.edge.port.Directory().DecodeConfiguration, item)
	kept.lastRevision, kept.lastFailed = item.Revision(), err != nil
	switch {
	case err != nil:
		log.Error(err, "configuration refused", "revision", item.Revision().String())
	case kept.set != nil && set.Generation() < kept.set.Generation():
		log.Info("older configuration ignored", "revision", item.Revision().String(), "version", set.Generation(), "inForce", kept.set.Generation())
	default:
		log.Info("configuration received", "revision", item.Revision().String(), "version", set.Generation())
		kept.item, kept.set = item, set
	}
}

// keepNewestConfiguration examines the mirrored configuration and replaces it by the kept one.
func (mirror *mirror) keepNewestConfiguration() {
	key := mirror.edge.port.Directory().ConfigurationKey()
	if item, found := mirror.items[key]; found {
		mirror.examineConfiguration(item)
	}
	if mirror.configuration.set != nil {
		mirror.items[key] = mirror.configuration.item
	}
}

// configurationSeedTimeout bounds the wait for the seeds' configurations. It is short, since
// after a start of all proxies no seed has one and callers wait meanwhile.
const configurationSeedTimeout = 100 * time.Millisecond

// firstEra is the era of a directory that was never restored from a backup.
const firstEra ebonywood.Era = 1

// askSeedsForConfiguration examines the configurations of the seed proxies after the first
// list of this process, if the listed one is invalid or has workspaces, or if the directory was
// restored from a backup before: without the memory of earlier versions, a process can't see
// that the directory holds an older one. Other deployments need no such request. An unchanged
// configuration comes without its value.
func (mirror *mirror) askSeedsForConfiguration(ctx context.Context, listedRevision ebonywood.Revision) {
	kept := mirror.configuration
	if mirror.edge.port.Relay() == nil || kept.lastRevision.IsZero() {
		return
	}
	if !kept.lastFailed && !kept.set.RequiresWorkspace() && listedRevision.Era() <= firstEra {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, configurationSeedTimeout)
	defer cancel()
	key := mirror.edge.port.Directory().ConfigurationKey()
	var differing []string
	for _, seed := range mirror.fetchSeedPages(ctx, mirror.edge.port.Settings().Seeds(), ebonywood.Cursor{}.WithRevision(listedRevision)) {
		for _, entry := range seed.page.Unchanged() {
			if entry.Key() == key && entry.Revision() != kept.lastRevision {
				differing = append(differing, seed.seed)
			}
		}
		mirror.examinePage(seed.page)
	}
	if len(differing) > 0 {
		for _, seed := range mirror.fetchSeedPages(ctx, differing, ebonywood.Cursor{}) {
			mirror.examinePage(seed.page)
		}
	}
	if newest := mirror.configuration; newest.set != nil && newest.item.Revision() != kept.item.Revision() {
		mirror.edge.port.Log().Info("configuration from a seed", "version", newest.set.Generation(), "revision", newest.item.Revision().String(),
			"listedRevision", kept.lastRevision.String())
	}
}

// examinePage examines the configuration of another proxy's mirror.
func (mirror *mirror) examinePage(page ebonywood.MirrorPage) {
	key := mirror.edge.port.Directory().ConfigurationKey()
	for _, item := range page.Items() {
		if item.Key() == key && !item.IsDeleted() {
			mirror.examineConfiguration(item)
		}
	}
}

// applyConfiguration posts the kept configuration to the control loop, which ignores it if it
// is in force already.
func (mirror *mirror) applyConfiguration(ctx context.Context, _ map[string]ebonywood.Item, _ ebonywood.Revision) {
	if set := mirror.configuration.set; set != nil {
		_ = mirror.edge.port.Post(ctx, ebonywood.NewObjectSetReceived(set))
	}
}
