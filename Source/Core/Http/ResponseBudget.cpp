#include "Http/ResponseBudget.h"

namespace Http {

bool resize(ResponseBudget& budget, Common::Bytes before, Common::Bytes now)
{
    int64_t delta = (now - before).value();
    int64_t used = budget.used.fetch_add(delta) + delta;
    return now <= budget.guaranteed || used <= budget.limit.value();
}

} // namespace Http
