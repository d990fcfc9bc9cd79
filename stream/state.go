package stream

import "github.com/ThreeDotsLabs/watermill/message"

// State tells whether the log answers the reader of a topic.
type State struct {
	Topic string
	Up    bool
	// Err is the error that took the log down.
	Err error
}

// Port is what the daemon needs of the log.
type Port interface {
	message.Publisher
	message.Subscriber
}
