/// \file
/// Promotion module: replaces the primaries of groups that are lost or leaving.
#ifndef CICADAWIND_PROMOTION_PROMOTION_H
#define CICADAWIND_PROMOTION_PROMOTION_H

#include "Promotion/FencedPromotion.h"
#include "Promotion/LeaseExchange.h"
#include "Promotion/LeasedPromotion.h"
#include "Promotion/PromotionDriver.h"
#include "Promotion/PromotionProcedure.h"
#include "Promotion/PromotionTokens.h"
#include "Promotion/PromotionTurn.h"
#include "Promotion/ReservationPlanning.h"
#include "Promotion/TargetSurvey.h"

#endif
