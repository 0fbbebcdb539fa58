package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/hop"
)

// Guards against "not run" for work of which one of two attempts may have run.
func TestMoreTelling(t *testing.T) {
	refused := NotRun(503, hop.ReasonRetryBudget, "")
	lost := Unknown(hop.ReasonAnswerLost, "")
	failed := Unknown(hop.ReasonFailed, "")
	failed.answer = &answer{status: 500}
	for _, c := range []struct{ a, b, want *ErrorReply }{
		{nil, refused, refused}, {refused, lost, lost}, {lost, refused, lost},
		{refused, failed, failed}, {failed, lost, failed}, {lost, failed, failed},
	} {
		assert.Equal(t, moreTelling(c.a, c.b), c.want)
	}
}
