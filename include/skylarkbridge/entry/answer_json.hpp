#ifndef SKYLARKBRIDGE_ENTRY_ANSWER_JSON_HPP
#define SKYLARKBRIDGE_ENTRY_ANSWER_JSON_HPP

#include <string>

#include "skylarkbridge/entry/control_answers.hpp"

namespace httplib {
struct Response;
}

namespace skylarkbridge::entry {

/// @brief Writes an answer of the control thread as an HTTP answer with a JSON
/// body.
void WriteAnswer(const submit_answer& answer, httplib::Response& response);
void WriteAnswer(const task_answer& answer, httplib::Response& response);
void WriteAnswer(const task_list_answer& answer, httplib::Response& response);
void WriteAnswer(const publish_answer& answer, httplib::Response& response);
void WriteAnswer(const status_answer& answer, httplib::Response& response);
/// @brief The text as it is, with its version in `Skylarkbridge-Version`.
void WriteAnswer(const configuration_answer& answer,
                 httplib::Response& response);

}  // namespace skylarkbridge::entry

#endif  // SKYLARKBRIDGE_ENTRY_ANSWER_JSON_HPP
