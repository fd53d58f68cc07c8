package instance

// Types of statements.
type (
	selectStatement struct {
		targets []target
		source  source
		where   expression
		order   *order
		limit   expression
		offset  expression
		locking bool // FOR UPDATE
	}
	insertStatement struct {
		columns   []string
		rows      [][]expression
		conflict  conflictAction
		update    expression // new value for conflictUpdate
		where     expression // condition of conflictUpdate
		returning []target
	}
	updateStatement struct {
		value     expression
		where     expression
		returning []target
	}
	deleteStatement struct {
		where     expression
		returning []target
	}
	beginStatement struct {
		tag    string
		access accessMode
	}
	commitStatement    struct{}
	rollbackStatement  struct{}
	savepointStatement struct {
		action savepointAction
		name   string
	}
	setStatement struct {
		name  string
		value *string // nil for DEFAULT and RESET
		local bool
		tag   string
	}
	resetAllStatement       struct{}
	setTransactionStatement struct{ access accessMode }
	showStatement           struct{ name string }
	discardStatement        struct{}
	deallocateStatement     struct{ name string } // empty for ALL
	alterSystemStatement    struct{ name, value string }
	copyStatement           struct {
		columns []string
		query   *selectStatement // for COPY ... TO
		format  copyFormat
		in      bool
	}
)

type target struct {
	value expression
	name  string
	star  bool
}

// order is an ORDER BY clause with one expression.
type order struct {
	by         expression
	descending bool
}

type sourceKind uint8

const (
	sourceNone sourceKind = iota
	sourceTable
	sourceSeries      // generate_series
	sourceCheckpoint  // pg_control_checkpoint()
	sourceWALReceiver // pg_stat_wal_receiver
)

// source is the FROM clause of a SELECT. alias, first and last are set for a series;
// alias is the name of its column.
type source struct {
	kind        sourceKind
	alias       string
	first, last expression
}

type accessMode uint8

const (
	accessDefault accessMode = iota
	accessReadOnly
	accessReadWrite
)

type conflictAction uint8

const (
	conflictError conflictAction = iota
	conflictNothing
	conflictUpdate
)

type savepointAction uint8

const (
	savepointSet savepointAction = iota
	savepointRelease
	savepointRollback
)

type copyFormat uint8

const (
	copyText copyFormat = iota
	copyBinary
)

// Types of expressions.
type (
	literal   struct{ value value }
	parameter struct{ index int } // from 0
	column    struct{ table, name string }
	call      struct {
		name      string
		arguments []expression
	}
	binaryOperation struct {
		operator    string
		left, right expression
	}
	unaryOperation struct {
		operator string
		operand  expression
	}
	cast struct {
		operand expression
		to      uint32
	}
	inList struct {
		operand expression
		list    []expression
	}
	isNull struct {
		operand expression
		negated bool
	}
)

// expression and statement mark the places where one of the types above is expected.
type (
	expression interface{}
	statement  interface{}
)
