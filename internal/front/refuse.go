package front

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Severities of an ErrorResponse. A fatal error ends the connection.
const (
	severityError = "ERROR"
	severityFatal = "FATAL"
)

// SQLSTATEs that only the client side uses.
const (
	inFailedTransaction proxy.SQLState = "25P02"
	programLimit        proxy.SQLState = "54000"
)

// response converts a refusal to the message that the client receives.
func response(r *proxy.Refusal, severity string) *pgproto3.ErrorResponse {
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
