// Package interrupter ends the reads of the body of an HTTP request.
package interrupter

import (
	"context"
	"net/http"
	"time"
)

// past is a read deadline that has passed.
var past = time.Unix(1, 0)

// Interrupt ends the reads of the body of a request until another read deadline is set.
func Interrupt(control *http.ResponseController) { _ = control.SetReadDeadline(past) }

// InterruptAfter ends the reads of the body of a request when ctx ends. The returned function, which must be
// called once, ends that and reports whether ctx had not ended. A read deadline that is set after it stands.
func InterruptAfter(ctx context.Context, control *http.ResponseController) (stop func() bool) {
	interrupted := make(chan struct{})
	stopFunc := context.AfterFunc(ctx, func() {
		defer close(interrupted)
		Interrupt(control)
	})
	return func() bool {
		if stopFunc() {
			return true
		}
		<-interrupted
		return false
	}
}
