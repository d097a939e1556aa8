/// \file
/// Succession module: which target may replace a primary, given what the
/// targets report and which promotion was decided last.
#ifndef CICADAWIND_SUCCESSION_SUCCESSION_H
#define CICADAWIND_SUCCESSION_SUCCESSION_H

#include "Succession/CommitProof.h"
#include "Succession/PromotionDecision.h"
#include "Succession/PromotionEvidence.h"
#include "Succession/PromotionRecord.h"
#include "Succession/SuccessionReservation.h"
#include "Succession/SuccessionRule.h"
#include "Succession/SuccessorCandidate.h"

#endif
