package environment

import (
	"strconv"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Prefix returns the prefix of all objects of one stage of an environment.
func Prefix(environment proxy.EnvironmentID, stage proxy.Stage) proxy.Key {
	return proxy.Key("environments/" + string(environment) + "/" + string(stage) + "/")
}

// DocumentKey returns the key of the object that holds the envelope in force.
func DocumentKey(environment proxy.EnvironmentID, stage proxy.Stage) proxy.Key {
	return Prefix(environment, stage) + "document"
}

// AuditSlots is the number of audit records that a stage keeps. The record of a
// revision overwrites that of the revision AuditSlots before it.
const AuditSlots = 1024

// AuditPrefix returns the prefix of a stage's audit records.
func AuditPrefix(environment proxy.EnvironmentID, stage proxy.Stage) proxy.Key {
	return Prefix(environment, stage) + "audit/"
}

// AuditKey returns the key of the slot that holds the audit record of a revision.
func AuditKey(environment proxy.EnvironmentID, stage proxy.Stage, revision proxy.Revision) proxy.Key {
	return AuditPrefix(environment, stage) + proxy.Key(strconv.FormatUint(uint64(revision%AuditSlots), 10))
}

// StatusPrefix returns the prefix of the hosts' status objects.
func StatusPrefix(environment proxy.EnvironmentID, stage proxy.Stage) proxy.Key {
	return Prefix(environment, stage) + "status/"
}

// StatusKey returns the key of the object in which a host reports the revision it
// applies.
func StatusKey(environment proxy.EnvironmentID, stage proxy.Stage, host proxy.HostID) proxy.Key {
	return StatusPrefix(environment, stage) + proxy.Key(host)
}
