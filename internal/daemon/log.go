package daemon

import (
	"fmt"
	"io"

	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/core/logx"
)

// NewLog returns the host's structured log.
func NewLog(w io.Writer, s Settings) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return zerolog.Logger{}, fmt.Errorf("log.level: %w", err)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(w).Level(level).With().Timestamp().
		Str("host", string(s.Host)).Str("zone", string(s.Zone)).Logger()
	return log, nil
}

// bridge passes go-zero's own log output to zerolog.
type bridge struct{ log zerolog.Logger }

var _ logx.Writer = bridge{}

// BridgeLog makes go-zero write to log. It is process-wide, as go-zero's log is.
func BridgeLog(log zerolog.Logger) {
	logx.SetWriter(bridge{log: log.With().Str("source", "go-zero").Logger()})
	logx.DisableStat()
}

func (b bridge) write(e *zerolog.Event, v any, fields []logx.LogField) {
	for _, field := range fields {
		e = e.Interface(field.Key, field.Value)
	}
	e.Msg(fmt.Sprint(v))
}

func (b bridge) Alert(v any)                          { b.write(b.log.Error(), v, nil) }
func (b bridge) Close() error                         { return nil }
func (b bridge) Debug(v any, fields ...logx.LogField) { b.write(b.log.Debug(), v, fields) }
func (b bridge) Error(v any, fields ...logx.LogField) { b.write(b.log.Error(), v, fields) }
func (b bridge) Info(v any, fields ...logx.LogField)  { b.write(b.log.Info(), v, fields) }
func (b bridge) Severe(v any)                         { b.write(b.log.Error(), v, nil) }
func (b bridge) Slow(v any, fields ...logx.LogField)  { b.write(b.log.Warn(), v, fields) }
func (b bridge) Stack(v any)                          { b.write(b.log.Error(), v, nil) }
func (b bridge) Stat(v any, fields ...logx.LogField)  { b.write(b.log.Debug(), v, fields) }
