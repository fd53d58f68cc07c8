package environment

import (
	"strconv"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Prefix returns the prefix of all objects of an environment's stage.
func Prefix(environment proxy.EnvironmentID, stage proxy.Stage) proxy.Key {
	return proxy.Key("environments/" + string(environment) + "/" + string(stage) + "/")
}

// DocumentKey names the object that holds the envelope in force.
func DocumentKey(environment proxy.EnvironmentID, stage proxy.Stage) proxy.Key {
	return Prefix(environment, stage) + "document"
}

// AuditSlots is the number of audit records that a stage keeps. A revision's
// record replaces the record of the revision AuditSlots before it.
const AuditSlots = 1024

// AuditPrefix is the prefix of a stage's audit records.
func AuditPrefix(environment proxy.EnvironmentID, stage proxy.Stage) proxy.Key {
	return Prefix(environment, stage) + "audit/"
}

// AuditKey names the object that holds the audit record of a revision.
func AuditKey(environment proxy.EnvironmentID, stage proxy.Stage, revision proxy.Revision) proxy.Key {
	return AuditPrefix(environment, stage) + proxy.Key(strconv.FormatUint(uint64(revision%AuditSlots), 10))
}

// StatusPrefix is the prefix of the hosts' status objects.
func StatusPrefix(environment proxy.EnvironmentID, stage proxy.Stage) proxy.Key {
	return Prefix(environment, stage) + "status/"
}

// StatusKey names the object in which a host reports the revision it applies.
func StatusKey(environment proxy.EnvironmentID, stage proxy.Stage, host proxy.HostID) proxy.Key {
	return StatusPrefix(environment, stage) + proxy.Key(host)
}
