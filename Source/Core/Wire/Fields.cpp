#include "Wire/Fields.h"

#include <kj/exception.h>

namespace Wire {

void failDecode(const char* what)
{
    throw kj::Exception(kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::heapString(what));
}

} // namespace Wire
