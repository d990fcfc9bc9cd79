// Package klog is a logr backend that writes each log event as one line of
// key=value pairs in the logfmt format.
//
// # Usage
//
//	log := klog.New(os.Stderr, klog.WithClock(clock), klog.WithLevel(1))
//	log.Info("lease renewed", "left", left)
package klog
