package path

// StorePace is how long after a change in the store a balancer with short bounds may act
// on it: a pause after earlier changes, and a call that is slow or is repeated.
const StorePace = defaultMaxBatchPause + batchPauseMargin
