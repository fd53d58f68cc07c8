package instance

import (
	"encoding/binary"
	"math"
	"strconv"
	"unicode/utf8"

	"github.com/jackc/pgx/v5/pgtype"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Type OIDs that pgtype does not name, from PostgreSQL's pg_type.
const (
	oidVoid = 2278
	oidLSN  = 3220
)

// value is an SQL value in its text form.
type value struct {
	oid  uint32
	null bool
	text string
}

func textValue(s string) value { return value{oid: pgtype.TextOID, text: s} }

func intValue(n int64) value {
	return value{oid: pgtype.Int8OID, text: strconv.FormatInt(n, 10)}
}

func boolValue(b bool) value {
	if b {
		return value{oid: pgtype.BoolOID, text: "t"}
	}
	return value{oid: pgtype.BoolOID, text: "f"}
}

func lsnValue(p proxy.Position) value { return value{oid: oidLSN, text: p.String()} }

func nullValue(oid uint32) value { return value{oid: oid, null: true} }

func (v value) isTrue() bool { return !v.null && v.text == "t" }

// integer parses a value as a 64-bit integer.
func (v value) integer() (int64, error) {
	n, err := strconv.ParseInt(v.text, 10, 64)
	if err != nil {
		return 0, errorf(stateInvalidText, "invalid input syntax for type bigint: %q", v.text)
	}
	return n, nil
}

// float parses a value as a double.
func (v value) float() (float64, error) {
	f, err := strconv.ParseFloat(v.text, 64)
	if err != nil {
		return 0, errorf(stateInvalidText, "invalid input syntax for type double precision: %q", v.text)
	}
	return f, nil
}

// convert casts a value to another type.
func (v value) convert(oid uint32) (value, error) {
	out := value{oid: oid, null: v.null, text: v.text}
	if v.null || v.oid == oid {
		return out, nil
	}
	switch oid {
	case pgtype.TextOID, pgtype.VarcharOID:
		if v.oid == pgtype.BoolOID {
			out.text = strconv.FormatBool(v.isTrue())
		}
	case pgtype.Int2OID, pgtype.Int4OID, pgtype.Int8OID:
		n, err := v.integer()
		if err != nil {
			return out, err
		}
		if bits := 8 * intSize(oid); bits < 64 && (n >= 1<<(bits-1) || n < -1<<(bits-1)) {
			return out, errorf(stateOutOfRange, "integer out of range")
		}
		out.text = strconv.FormatInt(n, 10)
	case pgtype.Float8OID:
		_, err := v.float()
		return out, err
	case pgtype.BoolOID:
		b, err := strconv.ParseBool(v.text)
		if err != nil {
			return out, errorf(stateInvalidText, "invalid input syntax for type boolean: %q", v.text)
		}
		return boolValue(b), nil
	case oidLSN:
		if _, err := proxy.ParsePosition(v.text); err != nil {
			return out, errorf(stateInvalidText, "%v", err)
		}
	}
	return out, nil
}

// intSize returns the size of an integer type in bytes, 0 for other types.
func intSize(oid uint32) int {
	switch oid {
	case pgtype.Int2OID:
		return 2
	case pgtype.Int4OID:
		return 4
	case pgtype.Int8OID:
		return 8
	}
	return 0
}

// typeSize returns the size of a type for RowDescription in bytes, -1 if it varies.
func typeSize(oid uint32) int16 {
	switch oid {
	case pgtype.BoolOID:
		return 1
	case pgtype.Float8OID, oidLSN:
		return 8
	case oidVoid:
		return 4
	}
	if n := intSize(oid); n > 0 {
		return int16(n)
	}
	return -1
}

// Format codes of the protocol.
const (
	formatText   = 0
	formatBinary = 1
)

// encode returns the wire form of a value, nil for null.
func (v value) encode(format int16) ([]byte, error) {
	if v.null {
		return nil, nil
	}
	if format == formatText {
		return []byte(v.text), nil
	}
	switch v.oid {
	case pgtype.Int2OID, pgtype.Int4OID, pgtype.Int8OID:
		n, err := v.integer()
		b := binary.BigEndian.AppendUint64(nil, uint64(n))
		return b[8-intSize(v.oid):], err
	case pgtype.Float8OID:
		f, err := v.float()
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(f)), err
	case pgtype.BoolOID:
		if v.isTrue() {
			return []byte{1}, nil
		}
		return []byte{0}, nil
	case oidLSN:
		p, err := proxy.ParsePosition(v.text)
		return binary.BigEndian.AppendUint64(nil, uint64(p)), err
	}
	return []byte(v.text), nil
}

// decode reads the wire form of a parameter.
func decode(data []byte, oid uint32, format int16) (value, error) {
	v := value{oid: oid}
	if data == nil {
		v.null = true
		return v, nil
	}
	if format == formatText {
		return decodeText(data, oid)
	}
	if n := typeSize(oid); n > 0 && len(data) != int(n) {
		return v, errorf(stateInvalidBinary, "binary value of type %d has %d bytes, not %d", oid, len(data), n)
	}
	switch oid {
	case pgtype.Int2OID:
		v.text = strconv.Itoa(int(int16(binary.BigEndian.Uint16(data))))
	case pgtype.Int4OID:
		v.text = strconv.Itoa(int(int32(binary.BigEndian.Uint32(data))))
	case pgtype.Int8OID:
		v.text = strconv.FormatInt(int64(binary.BigEndian.Uint64(data)), 10)
	case pgtype.Float8OID:
		f := math.Float64frombits(binary.BigEndian.Uint64(data))
		v.text = strconv.FormatFloat(f, 'g', -1, 64)
	case pgtype.BoolOID:
		return boolValue(data[0] != 0), nil
	case oidLSN:
		return lsnValue(proxy.Position(binary.BigEndian.Uint64(data))), nil
	default:
		return decodeText(data, oid)
	}
	return v, nil
}

// decodeText reads the text form of a value.
func decodeText(data []byte, oid uint32) (value, error) {
	text := string(data)
	if !utf8.ValidString(text) {
		return value{}, errorf(stateCharacter, "invalid byte sequence for encoding \"UTF8\"")
	}
	for i := range len(text) {
		if text[i] == 0 {
			return value{}, errorf(stateCharacter, "invalid byte sequence for encoding \"UTF8\": 0x00")
		}
	}
	return textValue(text).convert(oid)
}
