package frontend

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Severities of an ErrorResponse. The server closes the connection after FATAL.
const (
	severityError = "ERROR"
	severityFatal = "FATAL"
)

// SQLSTATEs that only this package uses.
const (
	inFailedSQLTransaction proxy.SQLState = "25P02"
	programLimitExceeded   proxy.SQLState = "54000"
	outOfMemory            proxy.SQLState = "53200"
)

// errorResponse converts a refusal to the ErrorResponse that the client receives.
func errorResponse(r *proxy.Refusal, severity string) *pgproto3.ErrorResponse {
	message := &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                string(r.State),
		Message:             r.Text,
		Detail:              r.Outcome.String(),
	}
	if r.RetryAfter > 0 {
		message.Hint = fmt.Sprintf("retry after %v", r.RetryAfter)
	}
	return message
}
