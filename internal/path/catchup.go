package path

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/resync"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"dogwoodlanding.example/dogwood/platform"
	"github.com/VictoriaMetrics/metrics"
)

// defaultBound is the bound on the age of the view for which the settings have none. The
// platform gives 5 s.
const defaultBound = 5 * clock.Second

// defaultRegain is the time after an outage within which the view must be current if the
// settings have none.
const defaultRegain = 4 * clock.Second

// Why a watch was ended by this process.
var (
	errInterrupted = errors.New("a decision needs a newer answer of the store")
	errSuspended   = errors.New("the process was suspended")
)

// transferMetrics holds the metrics of what the store's answers bring.
type transferMetrics struct {
	stateCalls         *metrics.Counter                   // readings of the state that began
	stateReads         map[resync.Reason]*metrics.Counter // complete readings of the state
	fetched, discarded *metrics.Counter                   // bytes
}

// count adds bytes of an answer's body.
func (t transferMetrics) count(fetched, discarded int64) {
	t.fetched.Add(int(fetched))
	t.discarded.Add(int(discarded))
}

// initResync sets the policy of the store's calls and its metrics.
func (b *Balancer) initResync() {
	s, set := b.Settings, b.stats.set
	b.resync = resync.Policy{
		Bounds: resync.Bounds{
			resync.Evacuations:   clock.Millis(s.EvacuateMs).Or(defaultBound),
			resync.Servers:       clock.Millis(s.DrainMs).Or(defaultBound),
			resync.Configuration: clock.Millis(s.ConfigMs).Or(defaultBound),
		},
		Regain:       clock.Millis(s.RegainMs).Or(defaultRegain),
		SilenceLimit: clock.Millis(platform.StallTimeout.Milliseconds()),
		Random:       func(n clock.Millis) clock.Millis { return rand.N(n) },
	}
	b.resync.MaxRest = b.resync.MaxWait() + clock.Millis(b.longestPause().Milliseconds())
	b.overdue = make(map[resync.Keys]bool)
	for _, keys := range resync.AllKeys {
		set.NewGauge(fmt.Sprintf("dogwood_store_keys_age_seconds{keys=%q}", keys), func() float64 {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.resync.Age(b.Clock.Now(), keys).Duration().Seconds()
		})
		set.NewGauge(fmt.Sprintf("dogwood_store_keys_overdue{keys=%q}", keys), func() float64 {
			b.mu.Lock()
			defer b.mu.Unlock()
			if b.resync.Overdue(b.Clock.Now(), keys) {
				return 1
			}
			return 0
		})
	}
	b.stats.transfer = transferMetrics{
		stateCalls: set.NewCounter(`dogwood_store_calls_total{kind="State"}`),
		fetched:    set.NewCounter("dogwood_store_fetched_bytes_total"),
		discarded:  set.NewCounter("dogwood_store_discarded_bytes_total"),
		stateReads: make(map[resync.Reason]*metrics.Counter),
	}
	for reason := resync.Outage; reason <= resync.Suspended; reason++ {
		b.stats.transfer.stateReads[reason] = set.NewCounter(fmt.Sprintf("dogwood_store_state_reads_total{reason=%q}", reason))
	}
}

// nextCall returns the call of the store to make next, and sets its bounds.
func (b *Balancer) nextCall(store *platform.Store) resync.Call {
	b.mu.Lock()
	defer b.mu.Unlock()
	call := b.resync.Next(b.Clock.Now())
	store.MaxCallTime, store.MaxWatchBytes = call.Limit.Duration(), call.MaxBytes
	return call
}

// recordCall records how a call of the store ended.
func (b *Balancer) recordCall(store *platform.Store, kind resync.Kind, took time.Duration, err error) {
	o := resync.Outcome{Kind: kind, Result: resultOf(err), Bytes: store.StateBytes(), Took: clock.Millis(took.Milliseconds())}
	if err != nil {
		_, o.Bytes = store.LastAnswer()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.resync.Record(b.Clock.Now(), o)
}

// resultOf returns the result of a call that ended with err.
func resultOf(err error) resync.Result {
	switch {
	case err == nil:
		return resync.Complete
	case errors.Is(err, platform.ErrHistoryGone):
		return resync.FoundHistoryGone
	case errors.Is(err, platform.ErrRestored):
		return resync.FoundRestored
	case errors.Is(err, platform.ErrAnswerTooLarge):
		return resync.FoundTooLarge
	case errors.Is(err, errSuspended):
		return resync.FoundSuspended
	case errors.Is(err, platform.ErrStalled):
		return resync.Silent
	case errors.Is(err, platform.ErrSlowAnswer):
		return resync.Slow
	}
	return resync.Failed
}

// answeredOtherwise reports whether a call failed although the store answered: the state
// must be read instead.
func answeredOtherwise(err error) bool {
	return errors.Is(err, platform.ErrHistoryGone) || errors.Is(err, platform.ErrRestored) || errors.Is(err, platform.ErrAnswerTooLarge)
}

// readState reads the evacuations and servers, which it applies at once, and then the
// configuration. It returns the revision to continue from, the given one if that fails.
func (b *Balancer) readState(ctx context.Context, store *platform.Store, reason resync.Reason, revision uint64) (uint64, error) {
	select {
	case <-b.refreshRequests: // the reading serves what was requested before it
	default:
	}
	began, requestedAt := time.Now(), b.Clock.Now()
	b.stats.transfer.stateCalls.Inc()
	changes, next, err := store.ListWithoutConfig(ctx, func(part []steer.Change) { b.applyPart(store, part) })
	if err != nil {
		return revision, err
	}
	b.mu.Lock()
	b.applyListing(store, requestedAt, changes, next)
	b.tick() // so that new agents are pinged at once
	b.mu.Unlock()
	b.Log.Info("servers and evacuations read", "reason", reason, "revision", next, "items", len(changes), "took", time.Since(began).Round(time.Millisecond))
	configAskedAt := b.Clock.Now()
	found, err := store.Config(ctx, b.configRevision)
	if err != nil {
		return revision, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applyConfig(found, next)
	b.resync.Cover(resync.Configuration, configAskedAt)
	b.core.RecordRefresh()
	b.tick() // so that parked packets are decided on
	b.stats.transfer.stateReads[reason].Inc()
	b.Log.Info("state read", "reason", reason, "revision", next, "newConfiguration", len(found) > 0, "bytes", store.StateBytes(), "took", time.Since(began).Round(time.Millisecond))
	return next, nil
}

// applyPart applies a page of a listing of evacuations and servers.
func (b *Balancer) applyPart(store *platform.Store, part []steer.Change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	b.logEvents(now, b.core.Registry.ApplyPart(now, part, store.Era() != b.storeEra), 0)
}

// applyListing applies a listing of evacuations and servers, and the configuration if it
// is part of it, to a request sent at requestedAt. The caller holds b.mu.
func (b *Balancer) applyListing(store *platform.Store, requestedAt clock.Millis, changes []steer.Change, revision uint64) {
	now := b.recordAnswer(requestedAt, revision)
	b.recordEra(now, store.Era())
	b.core.Registry.RecordRevision(steer.RevisionOf(b.storeEra, revision))
	b.logEvents(now, b.core.Registry.ApplyListing(now, changes), revision)
	b.rememberConfig(changes)
	b.resync.Cover(resync.Evacuations, requestedAt)
	b.resync.Cover(resync.Servers, requestedAt)
}

// applyConfig applies a configuration. The caller holds b.mu.
func (b *Balancer) applyConfig(changes []steer.Change, revision uint64) {
	now := b.Clock.Now()
	b.logEvents(now, b.core.Registry.Apply(now, changes), revision)
	b.rememberConfig(changes)
}

// recordWatched records an answer to a watch: the view has the state of all keys at the
// time at which the answer began to arrive. The caller holds b.mu.
func (b *Balancer) recordWatched(store *platform.Store, changes []steer.Change) {
	answeredAt, _ := store.LastAnswer()
	for _, keys := range resync.AllKeys {
		b.resync.Cover(keys, answeredAt)
	}
	b.rememberConfig(changes)
}

// rememberConfig records the revision of the last configuration among changes.
func (b *Balancer) rememberConfig(changes []steer.Change) {
	for _, c := range changes {
		if c.Config != nil {
			b.configRevision = c.Revision
		}
	}
}

// checkOverdue logs when the view of some keys becomes older than their bound, and when
// it is current again. The caller holds b.mu.
func (b *Balancer) checkOverdue(now clock.Millis) {
	for _, keys := range resync.AllKeys {
		overdue := b.resync.Overdue(now, keys)
		if overdue == b.overdue[keys] {
			continue
		}
		b.overdue[keys] = overdue
		if overdue {
			b.Log.Warn("view overdue", "keys", keys, "age", b.resync.Age(now, keys), "bound", b.resync.Bounds[keys])
		} else {
			b.Log.Info("view current again", "keys", keys, "age", b.resync.Age(now, keys))
		}
	}
}
