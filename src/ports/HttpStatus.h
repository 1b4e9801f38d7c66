#pragma once

namespace teaselfold {

/** @return true for a status that HTTP defines: its first digit names one of five classes (RFC 9110, section 15). */
constexpr bool isHttpStatus(int status) { return status >= 100 && status <= 599; }

/** @return true for a status of a final response, which ends an exchange. */
constexpr bool isFinalHttpStatus(int status) { return isHttpStatus(status) && status >= 200; }

}
