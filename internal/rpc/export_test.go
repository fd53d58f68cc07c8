package rpc

import "github.com/auburnyoke/auburnyoke/pkg/proxy"

// NewWireMessage returns an empty message of one of the types that peers send.
func NewWireMessage(kind byte) any {
	messages := []any{&frame{}, &opening{}, &granted{}, &confirmation{}, &returned{}, &batch{}, &empty{}, &proxy.Refusal{}}
	return messages[int(kind)%len(messages)]
}
