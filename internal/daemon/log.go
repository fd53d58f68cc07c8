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

// logBridge writes go-zero's log output to zerolog.
type logBridge struct{ log zerolog.Logger }

var _ logx.Writer = logBridge{}

// BridgeLog makes go-zero write to log, for the whole process.
func BridgeLog(log zerolog.Logger) {
	logx.SetWriter(logBridge{log: log.With().Str("source", "go-zero").Logger()})
	logx.DisableStat()
}

func (b logBridge) write(e *zerolog.Event, v any, fields []logx.LogField) {
	for _, field := range fields {
		e = e.Interface(field.Key, field.Value)
	}
	e.Msg(fmt.Sprint(v))
}

func (b logBridge) Alert(v any)                          { b.write(b.log.Error(), v, nil) }
func (b logBridge) Close() error                         { return nil }
func (b logBridge) Debug(v any, fields ...logx.LogField) { b.write(b.log.Debug(), v, fields) }
func (b logBridge) Error(v any, fields ...logx.LogField) { b.write(b.log.Error(), v, fields) }
func (b logBridge) Info(v any, fields ...logx.LogField)  { b.write(b.log.Info(), v, fields) }
func (b logBridge) Severe(v any)                         { b.write(b.log.Error(), v, nil) }
func (b logBridge) Slow(v any, fields ...logx.LogField)  { b.write(b.log.Warn(), v, fields) }
func (b logBridge) Stack(v any)                          { b.write(b.log.Error(), v, nil) }
func (b logBridge) Stat(v any, fields ...logx.LogField)  { b.write(b.log.Debug(), v, fields) }
