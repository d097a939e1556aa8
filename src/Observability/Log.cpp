#include "Observability/Log.h"

#include "Observability/LineSink.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <chrono>
#include <ctime>
#include <iostream>

namespace cicadawind {
namespace internal {

static std::string LoggedVm;
static LogLevel CurrentMinLevel = LogLevel::Info;

static const char *nameOf(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return "debug";
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    return "error";
  }
  return "error";
}

static std::string utcNow() {
  auto Now = std::chrono::system_clock::now();
  std::time_t Seconds = std::chrono::system_clock::to_time_t(Now);
  auto Part = std::chrono::duration_cast<std::chrono::milliseconds>(
                  Now.time_since_epoch()) %
              std::chrono::seconds(1);
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  char Text[32];
  std::size_t Length =
      std::strftime(Text, sizeof Text, "%Y-%m-%dT%H:%M:%S", &Parts);
  std::string Millis = std::to_string(1000 + Part.count()).substr(1);
  return std::string(Text, Length) + "." + Millis + "Z";
}

/// Boost.Log backend that writes formatted lines to a LineSink on standard
/// output.
class LineBackend : public boost::log::sinks::basic_formatted_sink_backend<
                        char, boost::log::sinks::synchronized_feeding> {
public:
  void consume(const boost::log::record_view &, const std::string &Line) {
    Sink.write(Line);
  }

private:
  LineSink Sink{STDOUT_FILENO};
};

} // namespace internal

void Log::setMinLevel(LogLevel MinLevel) {
  internal::CurrentMinLevel = MinLevel;
}

LogLevel Log::levelOf(const std::string &Name) {
  if (Name == "debug")
    return LogLevel::Debug;
  if (Name == "warning")
    return LogLevel::Warning;
  return Name == "error" ? LogLevel::Error : LogLevel::Info;
}

void Log::start(const std::string &Vm, LogLevel MinLevel, LogOutput Output) {
  namespace logging = boost::log;
  internal::LoggedVm = Vm;
  internal::CurrentMinLevel = MinLevel;
  if (Output == LogOutput::StandardOutput) {
    using Lines = logging::sinks::synchronous_sink<internal::LineBackend>;
    logging::core::get()->remove_all_sinks();
    logging::core::get()->add_sink(boost::make_shared<Lines>());
    return;
  }
  using Backend = logging::sinks::text_ostream_backend;
  auto Stream = boost::make_shared<Backend>();
  Stream->add_stream(
      boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  Stream->auto_flush(true);
  using Sink = logging::sinks::synchronous_sink<Backend>;
  logging::core::get()->remove_all_sinks();
  logging::core::get()->add_sink(boost::make_shared<Sink>(Stream));
}

void Log::write(LogLevel Level, const std::string &Message,
                const LogFields &Fields) const {
  if (Level < internal::CurrentMinLevel)
    return;
  nlohmann::ordered_json Line;
  Line["time"] = internal::utcNow();
  Line["level"] = internal::nameOf(Level);
  Line["component"] = Component;
  Line["vm"] = internal::LoggedVm;
  Line["message"] = Message;
  for (const auto &[Name, Value] : Fields)
    Line[Name] = Value;
  static boost::log::sources::logger_mt Source;
  BOOST_LOG(Source) << Line.dump(
      -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

void Log::debug(const std::string &Message, const LogFields &Fields) const {
  write(LogLevel::Debug, Message, Fields);
}
void Log::info(const std::string &Message, const LogFields &Fields) const {
  write(LogLevel::Info, Message, Fields);
}
void Log::warning(const std::string &Message, const LogFields &Fields) const {
  write(LogLevel::Warning, Message, Fields);
}
void Log::error(const std::string &Message, const LogFields &Fields) const {
  write(LogLevel::Error, Message, Fields);
}

} // namespace cicadawind
