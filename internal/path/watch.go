package path

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"dogwoodlanding.example/dogwood/platform"
)

// Times of the watch on the store.
const (
	// watchWait is how long one watch waits. It bounds the age of the view when
	// a connection has gone silent.
	watchWait = 4 * time.Second
	// gatherLeast is the pause after changes, so that changes close to each other
	// cost one call. It grows up to gatherMost while changes go on, since the calls
	// of a fleet grow with its changes. An entry's removal must be acted on within
	// three seconds of it, of which steer waits 2.1.
	gatherLeast = 300 * time.Millisecond
	gatherMost  = 700 * time.Millisecond
	// calmAfter is how long a watch waits for changes that do not belong to the
	// ones before.
	calmAfter = time.Second
	// retryLeast and retryMost bound the pause after a failed call.
	retryLeast = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// keepAliveIdle and keepAliveProbes notice a connection that has gone silent
	// before the watch ends by itself.
	keepAliveIdle   = time.Second
	keepAliveProbes = 2
	// connectTimeout bounds opening a connection to the store.
	connectTimeout = time.Second
)

// newStore makes the process's one client of the store.
func newStore(address string, c clock.Clock, faulty func(string, uint64, error)) *platform.Store {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveProbes}}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, DisableCompression: true}
	return &platform.Store{Address: address, Client: &http.Client{Transport: transport}, Clock: c, InvalidEntry: faulty}
}

// watchStore keeps the registry up to date until the context ends.
func (b *Balancer) watchStore(ctx context.Context, store *platform.Store) {
	revision := uint64(0)
	pause := retryLeast
	for ctx.Err() == nil {
		var err error
		if revision == 0 {
			revision, err = b.list(ctx, store)
		} else {
			revision, err = b.watchOnce(ctx, store, revision)
		}
		if err == nil {
			pause = retryLeast
			continue
		}
		b.askNow() // the first answer after a failure should not wait for a change
		b.counters.storeFail.Inc()
		if errors.Is(err, platform.ErrHistoryGone) {
			b.Log.Warn("listing the store again", "revision", revision, "err", err)
			revision = 0
			continue
		}
		b.storeLost(err)
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, retryMost)
	}
}

// list reads everything. It returns 0 for the revision if it fails.
func (b *Balancer) list(ctx context.Context, store *platform.Store) (uint64, error) {
	began, asked := time.Now(), b.Clock.Now()
	b.counters.storeCall.Inc()
	changes, revision, err := store.List(ctx)
	if err != nil {
		return 0, err
	}
	b.counters.storeTime.UpdateDuration(began)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.heard(asked, revision)
	b.believe(now, b.core.Registry.ApplyListing(now, changes), revision)
	b.core.RecordRefresh()
	b.resume(now)
	b.closeListed.Do(func() { close(b.listed) })
	b.Log.Info("store listed", "revision", revision, "items", len(changes), "took", time.Since(began).Round(time.Millisecond))
	return revision, nil
}

// watchOnce waits for changes once. It returns early when the view is too old for
// a decision, and after the process has slept, so that everything is listed again.
func (b *Balancer) watchOnce(ctx context.Context, store *platform.Store, revision uint64) (uint64, error) {
	wait := b.watchWait()
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	interrupted := make(chan interruption, 1)
	go func() {
		interrupted <- b.interrupt(waiting, wait > 0)
		cancel()
	}()
	b.counters.storeCall.Inc()
	began, asked := time.Now(), b.Clock.Now()
	changes, next, err := store.Watch(waiting, revision, wait)
	cancel()
	switch <-interrupted {
	case wokenLate:
		return 0, nil
	case viewTooOld:
		b.askNow()
		if err != nil {
			return revision, nil
		}
	}
	if err != nil {
		return revision, err
	}
	b.mu.Lock()
	now := b.heard(asked, next)
	b.believe(now, b.core.Registry.Apply(now, changes), next)
	b.resume(now)
	b.mu.Unlock()
	if len(changes) > 0 {
		b.gather = nextGather(b.gather, time.Since(began))
		b.pause(ctx)
	}
	return next, nil
}

// interruption is why a watch ended early.
type interruption uint8

const (
	notInterrupted interruption = iota
	wokenLate
	viewTooOld
)

// interrupt waits until the watch must end. A call that does not wait for changes
// is the answer to a view that is too old.
func (b *Balancer) interrupt(ctx context.Context, waits bool) interruption {
	tooOld := b.tooOld
	if !waits {
		tooOld = nil
	}
	select {
	case <-b.refresh:
		return wokenLate
	case <-tooOld:
		return viewTooOld
	case <-ctx.Done():
		return notInterrupted
	}
}

// askNow makes the next watch return at once.
func (b *Balancer) askNow() {
	select {
	case b.tooOld <- struct{}{}:
	default:
	}
}

// pause lets changes gather, unless the view is needed.
func (b *Balancer) pause(ctx context.Context) {
	timer := time.NewTimer(b.gather)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-b.tooOld:
		b.askNow()
	}
}

// watchWait is how long the next watch waits: not at all if a decision waits for
// it, and no longer than until a server without an entry must be judged.
func (b *Balancer) watchWait() time.Duration {
	select {
	case <-b.tooOld:
		return 0
	default:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if wait, pending := b.core.Registry.AwaitingReturn(b.Clock.Now()); pending {
		return min(watchWait, wait.Duration())
	}
	return watchWait
}

// nextGather is the pause after changes that a watch has waited for.
func nextGather(last, waited time.Duration) time.Duration {
	if waited >= calmAfter {
		return gatherLeast
	}
	return min(gatherMost, last+gatherLeast)
}

// heard notes an answer of the store to a question that was asked earlier.
func (b *Balancer) heard(asked clock.Millis, revision uint64) clock.Millis {
	now := b.Clock.Now()
	if b.core.Registry.RecordAnswer(now, asked) {
		b.Log.Info("store regained", "revision", revision)
	}
	return now
}

func (b *Balancer) storeLost(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.core.Registry.RecordOutage() {
		b.Log.Warn("store lost", "err", err)
	}
}

// believe logs what the balancer believes from now on.
func (b *Balancer) believe(now clock.Millis, events []steer.Event, revision uint64) {
	if len(events) > 0 {
		b.changed = now
	}
	for _, e := range events {
		fields := []any{"subject", e.Subject, "state", e.State, "version", e.Version, "revision", revision}
		if e.Name != "" {
			fields = append(fields, "name", e.Name)
		}
		if e.Count > 0 {
			fields = append(fields, "routes", e.Count, "services", fmt.Sprint(e.Services))
		}
		if e.Agent.IsValid() {
			fields = append(fields, "service", e.Service, "dataCentre", e.DataCentre, "agent", e.Agent, "cold", e.Cold)
		}
		b.Log.Info("belief", fields...)
	}
}

// sleep waits for a while or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
