package deployment

import (
	"bufio"
	"strings"
)

// readMessage returns the next message of the line protocol without its line end, CR LF.
// A line feed by itself is part of a field.
func readMessage(in *bufio.Reader) (string, error) {
	var message strings.Builder
	for {
		part, err := in.ReadString('\n')
		if err != nil {
			return "", err
		}
		message.WriteString(part)
		if line, ok := strings.CutSuffix(message.String(), "\r\n"); ok {
			return line, nil
		}
	}
}
