package path

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/resync"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"dogwoodlanding.example/dogwood/platform"
)

// Times of the watch on the store.
const (
	// minBatchPause is the pause after changes, so that changes close to each other
	// cost one call. It grows while changes go on, since the calls of all balancers grow
	// with the number of changes: up to the pause that the settings leave room for,
	// between defaultMaxBatchPause and maxBatchPause.
	minBatchPause        = 300 * time.Millisecond
	defaultMaxBatchPause = 700 * time.Millisecond
	maxBatchPause        = 3 * time.Second
	batchPauseGrowth     = 3
	// batchPauseMargin is the part of the time to act on a change that remains for the
	// call to the store, which may be slow, and for a failed one.
	batchPauseMargin = 900 * time.Millisecond
	// burstGap is how long a watch must have waited for changes for them to start a
	// new burst, at which the pause begins at minBatchPause again.
	burstGap = time.Second
	// keepAliveIdle and keepAliveProbes detect a dead connection before the watch ends
	// by itself.
	keepAliveIdle   = time.Second
	keepAliveProbes = 2
	// connectTimeout bounds opening a connection to the store.
	connectTimeout = time.Second
)

// newStore returns a client of the store. It calls reconnected for each connection after
// the first.
func newStore(address string, c clock.Clock, invalidEntry func(string, uint64, error), reconnected func(), transferred func(int64, int64)) *platform.Store {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveProbes}}
	var connected atomic.Bool
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err == nil && connected.Swap(true) {
			reconnected()
		}
		return conn, err
	}
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2, DisableCompression: true}
	return &platform.Store{Address: address, Client: &http.Client{Transport: transport}, Clock: c, InvalidEntry: invalidEntry, Transferred: transferred}
}

// watchStore keeps the registry up to date until ctx is cancelled.
func (b *Balancer) watchStore(ctx context.Context, store *platform.Store) {
	revision := uint64(0)
	for ctx.Err() == nil {
		call := b.nextCall(store)
		if call.Pause > 0 {
			sleep(ctx, call.Pause.Duration())
		}
		began := time.Now()
		var err error
		switch call.Kind {
		case resync.Listing:
			revision, err = b.listStore(ctx, store)
		case resync.State:
			revision, err = b.readState(ctx, store, call.Reason, revision)
		default:
			revision, err = b.watchOnce(ctx, store, revision, call.Wait)
		}
		if errors.Is(err, errInterrupted) || ctx.Err() != nil {
			continue
		}
		b.recordCall(store, call.Kind, time.Since(began), err)
		if err == nil {
			continue
		}
		b.requestRefresh() // the next watch should return without waiting for changes
		if errors.Is(err, errSuspended) {
			continue
		}
		b.stats.storeFailures.Inc()
		if answeredOtherwise(err) {
			b.Log.Warn("reading the state of the store", "revision", revision, "err", err)
			continue
		}
		b.recordOutage(err)
	}
}

// listStore lists the store and returns its revision, 0 if that fails.
func (b *Balancer) listStore(ctx context.Context, store *platform.Store) (uint64, error) {
	began, requestedAt := time.Now(), b.Clock.Now()
	b.stats.storeLists.Inc()
	changes, revision, err := store.List(ctx)
	if err != nil {
		return 0, err
	}
	b.stats.listTime.UpdateDuration(began)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applyListing(store, requestedAt, changes, revision)
	b.resync.Cover(resync.Configuration, requestedAt)
	b.core.RecordRefresh()
	b.tick() // so that new agents are pinged at once
	b.closeFirstListing.Do(func() { close(b.firstListing) })
	b.Log.Info("store listed", "revision", revision, "items", len(changes), "took", time.Since(began).Round(time.Millisecond))
	return revision, nil
}

// recordEra records the era of a listing. A new era means that the store was restored
// from an older copy. The caller holds b.mu.
func (b *Balancer) recordEra(now clock.Millis, era uint64) {
	if b.hasEra && era != b.storeEra {
		b.stats.storeRestores.Inc()
		b.core.Registry.RecordRestore(now)
		b.Log.Warn("store restored from an older copy", "era", era, "before", b.storeEra)
	}
	b.storeEra, b.hasEra = era, true
}

// watchOnce waits once for changes after a revision, for maxWait at most, and returns the
// revision to continue from. It returns early with errInterrupted if a decision needs a
// newer view, and with errSuspended after a suspension, so that the state is read again.
func (b *Balancer) watchOnce(ctx context.Context, store *platform.Store, revision uint64, maxWait clock.Millis) (uint64, error) {
	wait := b.nextWatchWait(maxWait).Duration()
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	interrupted := make(chan interruption, 1)
	go func() {
		interrupted <- b.awaitInterruption(waiting, wait > 0)
		cancel()
	}()
	if wait == 0 {
		b.stats.storeRefreshes.Inc()
	} else {
		b.stats.storeWatches.Inc()
	}
	began, requestedAt := time.Now(), b.Clock.Now()
	changes, next, err := store.Watch(waiting, revision, wait)
	cancel()
	switch <-interrupted {
	case processSuspended:
		return revision, errSuspended
	case refreshRequested:
		b.requestRefresh()
		if err != nil {
			return revision, errInterrupted
		}
	}
	if err != nil {
		return revision, err
	}
	b.mu.Lock()
	now := b.recordAnswer(requestedAt, next)
	b.core.Registry.RecordRevision(steer.RevisionOf(b.storeEra, next))
	b.recordWatched(store, changes)
	b.logEvents(now, b.core.Registry.Apply(now, changes), next)
	b.resumeParked(now)
	b.mu.Unlock()
	if len(changes) > 0 {
		b.batchPause = nextBatchPause(b.batchPause, time.Since(began), b.longestPause())
		b.awaitBatch(ctx)
	}
	return next, nil
}

// interruption is the reason why a watch ended early.
type interruption uint8

const (
	notInterrupted interruption = iota
	processSuspended
	refreshRequested
)

// awaitInterruption waits until the watch must end and returns the reason. waits says
// whether the watch waits for changes; one that does not already serves requests for a
// refresh, so they do not interrupt it.
func (b *Balancer) awaitInterruption(ctx context.Context, waits bool) interruption {
	requests := b.refreshRequests
	if !waits {
		requests = nil
	}
	select {
	case <-b.relistRequests:
		return processSuspended
	case <-requests:
		return refreshRequested
	case <-ctx.Done():
		return notInterrupted
	}
}

// requestRefresh interrupts a watch that waits for changes, and makes the next one
// return at once. Besides, it is called for each new connection: a store that was
// restored may have reached the revision that the watch continues from, and would tell
// its era only at the next change.
func (b *Balancer) requestRefresh() {
	select {
	case b.refreshRequests <- struct{}{}:
	default:
	}
}

// awaitBatch waits for batchPause so that the next watch returns several changes, or
// until a refresh is requested.
func (b *Balancer) awaitBatch(ctx context.Context) {
	timer := time.NewTimer(b.batchPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-b.refreshRequests:
		b.requestRefresh()
	}
}

// nextWatchWait returns how long the next watch waits: not at all if a refresh was
// requested, and no longer than maxWait or until the registry must know whether the entry
// of a removed server has returned.
func (b *Balancer) nextWatchWait(maxWait clock.Millis) clock.Millis {
	select {
	case <-b.refreshRequests:
		return 0
	default:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if wait, pending := b.core.Registry.AwaitingReturn(b.Clock.Now()); pending {
		return min(maxWait, wait)
	}
	return maxWait
}

// nextBatchPause returns the pause after changes, from the last pause and the time that
// the watch has waited for the changes.
func nextBatchPause(last, waited, longest time.Duration) time.Duration {
	if waited >= burstGap {
		return minBatchPause
	}
	return min(longest, max(minBatchPause, batchPauseGrowth*last))
}

// longestPause returns the longest pause after which the balancer still acts on each kind
// of change in time. A removed entry may return for steer.EntryReturnTime.
func (b *Balancer) longestPause() time.Duration {
	s := b.Settings
	if s.EvacuateMs == 0 || s.ConfigMs == 0 {
		return defaultMaxBatchPause
	}
	room := min(clock.Millis(s.DrainMs)-steer.EntryReturnTime, clock.Millis(s.ConfigMs), clock.Millis(s.EvacuateMs)).Duration()
	return min(maxBatchPause, max(defaultMaxBatchPause, room-batchPauseMargin))
}

// recordAnswer records an answer of the store to a request sent at requestedAt, and
// returns the present time. The caller holds b.mu.
func (b *Balancer) recordAnswer(requestedAt clock.Millis, revision uint64) clock.Millis {
	now := b.Clock.Now()
	if b.viewAsOf != 0 {
		b.stats.viewAge.Update((now - b.viewAsOf).Duration().Seconds())
	}
	b.viewAsOf = requestedAt
	if b.core.Registry.RecordPlatformAnswer(now, requestedAt) {
		b.Log.Info("store regained", "revision", revision)
	}
	return now
}

// recordOutage records that a call of the store failed.
func (b *Balancer) recordOutage(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.core.Registry.RecordOutage() {
		b.Log.Warn("store lost", "err", err)
	}
}

// logEvents logs changes of the registry, each with the message "belief", and records
// that the view changed at the time now. The caller holds b.mu.
func (b *Balancer) logEvents(now clock.Millis, events []steer.Event, revision uint64) {
	if len(events) > 0 {
		b.viewChangedAt = now
	}
	for _, e := range events {
		fields := []any{"subject", e.Subject, "state", e.State, "version", e.Version, "revision", revision}
		if e.Name != "" {
			fields = append(fields, "name", e.Name)
		}
		if e.RouteCount > 0 {
			fields = append(fields, "routes", e.RouteCount, "services", fmt.Sprint(e.Services))
		}
		if e.Agent.IsValid() {
			fields = append(fields, "service", e.Service, "dataCentre", e.DataCentre, "agent", e.Agent, "cold", e.ColdLeft)
		}
		b.Log.Info("belief", fields...)
	}
}

// sleep waits for d or until ctx is cancelled.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
