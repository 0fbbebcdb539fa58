package hop

// Headers of a request for a permit of an organisation's limit, which an entry sends to the hop address
// of an owner of the limit, and of its reply. HeaderOrganisation names the organisation. The reply holds
// HeaderAgainMS if fewer permits were granted than requested: the time until the next one is due.
const (
	// HeaderPermit is PermitTake or PermitReturn in a request, and the result in a reply.
	HeaderPermit = "Jackdawlane-Permit"
	// HeaderPermitOwner is the role in which the entry asks the owner: "primary" or "standby".
	HeaderPermitOwner = "Jackdawlane-Permit-Owner"
	// HeaderPermitCount is the number of permits that a request asks for and a reply grants; absent
	// means 1.
	HeaderPermitCount = "Jackdawlane-Permit-Count"
	// HeaderPermitHandoverMS is the time for which a primary that has arrived still waits for the end of its
	// hand-over. The entry passes it on to the standby.
	HeaderPermitHandoverMS = "Jackdawlane-Permit-Handover-Ms"
	// HeaderPermitReceipt identifies the first permit that a reply grants, and the one that a request
	// returns.
	HeaderPermitReceipt = "Jackdawlane-Permit-Receipt"
)

// Requests about permits.
const (
	PermitTake   = "take"
	PermitReturn = "return"
)

// Reasons of requests that got no permit.
const (
	// ReasonRateLimit means that the organisation has used up its request limit.
	ReasonRateLimit Reason = "rate-limit"
	// ReasonQuotaUnavailable means that no node that keeps the organisation's limit could be reached.
	ReasonQuotaUnavailable Reason = "quota-unavailable"
)
