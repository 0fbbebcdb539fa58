package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/hop"
)

// Guards against reporting not-run for work that may have run: of two parallel attempts, one
// can be refused while the answer of the other is lost.
func TestFailureOfTwoAttempts(t *testing.T) {
	notRun := NotRun(503, hop.ReasonRetryBudget, "")
	lost := Unknown(hop.ReasonAnswerLost, "")
	failed := Unknown(hop.ReasonFailed, "")
	failed.buffered = &bufferedAnswer{status: 500}
	for _, c := range []struct{ a, b, want *ErrorReply }{
		{nil, notRun, notRun}, {notRun, lost, lost}, {lost, notRun, lost},
		{notRun, failed, failed}, {failed, lost, failed}, {lost, failed, failed},
	} {
		assert.Equal(t, preferredFailure(c.a, c.b), c.want)
	}
}
