/// \file session_end.cpp
/// Names the causes by which a session ends.
#include "anvilmount/gateway/session_end.hpp"

namespace anvilmount::gateway {

std::string_view name_of(session_end cause) {
    switch (cause) {
    case session_end::caller_closed:
        return "caller_closed";
    case session_end::caller_unreachable:
        return "caller_unreachable";
    case session_end::refused:
        return "refused";
    case session_end::limit_exceeded:
        return "limit_exceeded";
    case session_end::instance_leaving:
        return "instance_leaving";
    case session_end::grace_period_over:
        return "grace_period_over";
    case session_end::misplaced:
        return "misplaced";
    case session_end::configuration_behind:
        return "configuration_behind";
    case session_end::permit_withdrawn:
        return "permit_withdrawn";
    case session_end::too_many_outstanding:
        return "too_many_outstanding";
    case session_end::serving_instance_ended:
        return "serving_instance_ended";
    case session_end::serving_instance_closed:
        return "serving_instance_closed";
    case session_end::serving_instance_unreachable:
        break;
    }
    return "serving_instance_unreachable";
}

}
