package main

import "time"

// Bounds of the site pistas-jal.
const (
	contactTime  = 3 * time.Second
	drainTime    = 2 * time.Second
	revokeTime   = 5 * time.Second
	pingInterval = 1200 * time.Millisecond
)
