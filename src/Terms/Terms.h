/// \file
/// Terms module: decides which instance is primary, how a primary is replaced,
/// and which of its replies may be returned to callers. Performs no input or
/// output.
#ifndef CICADAWIND_TERMS_TERMS_H
#define CICADAWIND_TERMS_TERMS_H

#include "Terms/InstanceReport.h"
#include "Terms/LeaseTracker.h"
#include "Terms/PromotionMachine.h"
#include "Terms/PromotionTrigger.h"
#include "Terms/TermRecord.h"

#endif
